package publish

import "fmt"

// Unknown means that the store did not tell whether the change took effect.
type Unknown struct {
	generation uint64
	token      string
	cause      error
}

// Generation is the generation that the change would have.
func (u *Unknown) Generation() uint64 { return u.generation }

// Token is the token that shows in the object if the change took effect.
func (u *Unknown) Token() string { return u.token }

// Unwrap returns the last error of the store.
func (u *Unknown) Unwrap() error { return u.cause }

// Error states what is not known.
func (u *Unknown) Error() string {
	return fmt.Sprintf("it is not known whether generation %d with token %s took effect: %v", u.generation, u.token, u.cause)
}
