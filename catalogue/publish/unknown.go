package publish

import "fmt"

// Unknown is the error for a change that may or may not have taken effect.
type Unknown struct {
	generation uint64
	token      string
	cause      error
}

// Generation returns the generation of the change.
func (u *Unknown) Generation() uint64 { return u.generation }

// Token returns the token of the change, which the object contains if the change
// took effect and no later one has replaced it.
func (u *Unknown) Token() string { return u.token }

// Unwrap returns the last cause: an error of the store, or a later generation in force.
func (u *Unknown) Unwrap() error { return u.cause }

// Error returns the generation, the token and the last cause.
func (u *Unknown) Error() string {
	return fmt.Sprintf("it is not known whether generation %d with token %s took effect: %v", u.generation, u.token, u.cause)
}
