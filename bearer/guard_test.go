package bearer_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"medlaryard.example/medlaryard/bearer"
)

// Guards against an operators' interface that accepts requests without the key, and
// against a health check that requires the key.
func TestGuard(t *testing.T) {
	ok := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	tests := []struct {
		name, key, path, sent string
		status                int
	}{
		{"no key configured", "", "/v1/status", "", 200},
		{"right key", "k", "/v1/status", "k", 200},
		{"wrong key", "k", "/v1/status", "K", 401},
		{"no key sent", "k", "/v1/status", "", 401},
		{"key and more", "k", "/v1/status", "kk", 401},
		{"open path", "k", "/healthz", "", 200},
		{"below an open path", "k", "/healthz/x", "", 401},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := httptest.NewRequest(http.MethodGet, tt.path, nil)
			bearer.Set(r, tt.sent)
			w := httptest.NewRecorder()
			bearer.Guard(tt.key, ok, "/healthz").ServeHTTP(w, r)
			if w.Code != tt.status {
				t.Errorf("status %d, want %d", w.Code, tt.status)
			}
		})
	}
}
