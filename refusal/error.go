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

// New returns an Error of kind with the table's statement about having run.
func New(kind Kind, format string, args ...any) *Error {
	return &Error{kind: kind, ran: For(kind).Ran(), detail: fmt.Sprintf(format, args...)}
}

// WithRan returns a copy of e for a request whose fate is known better than
// its kind alone tells.
func (e *Error) WithRan(ran Ran) *Error {
	return &Error{kind: e.kind, ran: ran, detail: e.detail}
}

// Kind returns the kind of the refusal.
func (e *Error) Kind() Kind { return e.kind }

// Ran states whether the request ran.
func (e *Error) Ran() Ran { return e.ran }

// Detail explains the refusal to a person.
func (e *Error) Detail() string { return e.detail }

// Error returns kind and detail.
func (e *Error) Error() string { return string(e.kind) + ": " + e.detail }

// Of finds the Error in err's chain; any other error is Internal.
func Of(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(Internal, "%v", err)
}
