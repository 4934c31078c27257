package bearer

import "strings"

// Scheme is the authentication scheme of bearer tokens.
const Scheme = "Bearer"

// Key returns the token in the value of an Authorization field, or "" if the value
// has another scheme. The case of the scheme does not matter.
func Key(authorization string) string {
	scheme, key, _ := strings.Cut(authorization, " ")
	if !strings.EqualFold(scheme, Scheme) {
		return ""
	}
	return strings.Trim(key, " \t")
}
