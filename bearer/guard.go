package bearer

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"slices"

	"medlaryard.example/medlaryard/meter"
)

const prefix = Scheme + " "

// Guard returns a handler that passes requests with key to next and rejects others
// with status 401. Requests whose path is in openPaths need no key. With an empty
// key, Guard returns next, so no request needs one.
func Guard(key string, next http.Handler, openPaths ...string) http.Handler {
	if key == "" {
		return next
	}
	// Both hashes have the same length, so the time of the comparison does not
	// reveal the length of the key.
	want := sha256.Sum256([]byte(prefix + key))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got := sha256.Sum256([]byte(r.Header.Get("Authorization")))
		if !slices.Contains(openPaths, r.URL.Path) && subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
			meter.Count("operator.unauthorized", 1)
			w.Header().Set("WWW-Authenticate", "Bearer")
			http.Error(w, "a bearer token with the operators' key is required", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Set adds key to the headers of r as a bearer token. If key is empty, it changes
// nothing.
func Set(r *http.Request, key string) {
	if key != "" {
		r.Header.Set("Authorization", prefix+key)
	}
}
