package bearer

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"slices"

	"medlaryard.example/medlaryard/meter"
)

const prefix = "Bearer "

// Guard passes requests that carry key to next and answers others with 401,
// except for requests to the open paths. An empty key guards nothing.
func Guard(key string, next http.Handler, open ...string) http.Handler {
	if key == "" {
		return next
	}
	// Hashes have equal lengths, so the comparison does not reveal the key's length.
	want := sha256.Sum256([]byte(prefix + key))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got := sha256.Sum256([]byte(r.Header.Get("Authorization")))
		if !slices.Contains(open, r.URL.Path) && subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
			meter.Count("operator.unauthorized", 1)
			w.Header().Set("WWW-Authenticate", "Bearer")
			http.Error(w, "a bearer token with the operators' key is required", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Set adds key to a request. An empty key adds nothing.
func Set(r *http.Request, key string) {
	if key != "" {
		r.Header.Set("Authorization", prefix+key)
	}
}
