package refusal

import (
	"errors"
	"fmt"
)

// Error is an error with a Kind.
type Error struct {
	kind   Kind
	ran    Ran
	detail string
}

// New returns an Error of kind with the formatted detail and the Ran of the kind's
// Answer.
func New(kind Kind, format string, args ...any) *Error {
	return &Error{kind: kind, ran: AnswerFor(kind).Ran(), detail: fmt.Sprintf(format, args...)}
}

// WithRan returns a copy of e with ran, for a caller that knows more about the request
// than its kind states.
func (e *Error) WithRan(ran Ran) *Error {
	return &Error{kind: e.kind, ran: ran, detail: e.detail}
}

// Kind returns the kind of the refusal.
func (e *Error) Kind() Kind { return e.kind }

// Ran returns whether the request ran.
func (e *Error) Ran() Ran { return e.ran }

// Detail returns an explanation of the refusal for people.
func (e *Error) Detail() string { return e.detail }

// Error returns the kind and the detail.
func (e *Error) Error() string { return string(e.kind) + ": " + e.detail }

// FromError returns the Error in err's chain, or an Error of kind Internal if there is none.
func FromError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(Internal, "%v", err)
}
