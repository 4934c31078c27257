package publish

import "fmt"

// OutcomeUnknownError is the error for a change that may or may not have taken effect.
type OutcomeUnknownError struct {
	generation uint64
	token      string
	cause      error
}

// Generation returns the generation of the change.
func (e *OutcomeUnknownError) Generation() uint64 { return e.generation }

// Token returns the token of the change, which the object contains if the change
// took effect and no later one has replaced it.
func (e *OutcomeUnknownError) Token() string { return e.token }

// Unwrap returns the last cause: an error of the store, or a later generation in force.
func (e *OutcomeUnknownError) Unwrap() error { return e.cause }

// Error returns the generation, the token and the last cause.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("it is not known whether generation %d with token %s took effect: %v", e.generation, e.token, e.cause)
}
