package command

import (
	"errors"

	"medlaryard.example/medlaryard/catalogue/publish"
	"medlaryard.example/medlaryard/catalogue/syntax"
)

// Code is an exit code of the medlaryard binary.
type Code int

// The exit codes.
const (
	// OK means that the command succeeded.
	OK Code = 0
	// Failed means that a store or daemon could not be reached, or that an error
	// without a more specific code occurred.
	Failed Code = 1
	// Usage means that the command line is invalid.
	Usage Code = 2
	// InvalidInput means that a catalogue or settings file is invalid.
	InvalidInput Code = 3
	// Conflict means that another operator changed the catalogue first and that
	// this command changed nothing.
	Conflict Code = 4
	// OutcomeUnknown means that it is not known whether a change or request took effect.
	OutcomeUnknown Code = 5
	// Refused means that the daemon refused the request.
	Refused Code = 6
	// Partial means that the answer does not cover all documents.
	Partial Code = 7
)

// exitCodesHelp describes the exit codes in the help text.
const exitCodesHelp = `Exit codes: 0 success; 1 store or daemon not reached, or another failure; 2 faulty command line; 3 faulty catalogue or settings; 4 another operator's change came first, nothing was changed; 5 not known whether the change or request took effect; 6 request refused; 7 partial answer.`

// exitError is an error with its exit code.
type exitError struct {
	code Code
	err  error
	// retryable means that the request did not run and may be repeated.
	retryable bool
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

// exitCode returns the exit code for err. An error without a code of its own
// gives Failed.
func exitCode(err error) Code {
	var (
		e        *exitError
		ps       *syntax.Problems
		conflict *publish.ConflictError
		unknown  *publish.OutcomeUnknownError
	)
	switch {
	case err == nil:
		return OK
	case errors.As(err, &e):
		return e.code
	case errors.As(err, &ps):
		return InvalidInput
	case errors.As(err, &conflict):
		return Conflict
	case errors.As(err, &unknown):
		return OutcomeUnknown
	default:
		return Failed
	}
}
