package command

import (
	"errors"

	"medlaryard.example/medlaryard/catalogue/publish"
	"medlaryard.example/medlaryard/catalogue/syntax"
)

// Code is an exit code of the binary.
type Code int

// The exit codes.
const (
	// OK means that the command did what it was asked to do.
	OK Code = 0
	// Failed means that a store or daemon could not be reached, or any fault without a code of its own.
	Failed Code = 1
	// Usage is a faulty command line.
	Usage Code = 2
	// Faulty is a faulty catalogue or settings file.
	Faulty Code = 3
	// Raced means that another operator's change came first and nothing was changed.
	Raced Code = 4
	// OutcomeUnknown means that it is not known whether a change or request took effect.
	OutcomeUnknown Code = 5
	// Refused means that the daemon refused the request.
	Refused Code = 6
	// Partial means that the answer does not cover all documents.
	Partial Code = 7
)

// codes is the help text about exit codes.
const codes = `Exit codes: 0 success; 1 store or daemon not reached, or another failure; 2 faulty command line; 3 faulty catalogue or settings; 4 another operator's change came first, nothing was changed; 5 not known whether the change or request took effect; 6 request refused; 7 partial answer.`

// fault is an error with its exit code.
type fault struct {
	code Code
	err  error
	// again means that nothing has run and that the request may be repeated.
	again bool
}

func (f *fault) Error() string { return f.err.Error() }
func (f *fault) Unwrap() error { return f.err }

// codeOf returns the exit code for err.
func codeOf(err error) Code {
	var (
		f       *fault
		ps      *syntax.Problems
		race    *publish.Race
		unknown *publish.Unknown
	)
	switch {
	case err == nil:
		return OK
	case errors.As(err, &f):
		return f.code
	case errors.As(err, &ps):
		return Faulty
	case errors.As(err, &race):
		return Raced
	case errors.As(err, &unknown):
		return OutcomeUnknown
	default:
		return Failed
	}
}
