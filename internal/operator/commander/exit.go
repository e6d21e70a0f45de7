package commander

import (
	"errors"
	"fmt"
	"strings"
)

// Exit is a documented exit code. Codes are never reused for another meaning.
type Exit struct {
	Code  int
	Title string
	// Text describes what a script can conclude from the code. It is part of the help text and
	// docs.
	Text string
}

// The exit codes.
var (
	ExitDone          = Exit{0, "Done", "The command has succeeded."}
	ExitInternal      = Exit{1, "Internal", "A fault of this software or of the host. The effect of a change is not known."}
	ExitUsage         = Exit{2, "Usage", "The command line is wrong, or a local file cannot be read. Nothing was sent."}
	ExitUnreachable   = Exit{3, "Unreachable", "No connection to the host. Nothing was changed."}
	ExitNotAllowed    = Exit{4, "NotAllowed", "The certificate is not accepted or its role is too low. Nothing was changed."}
	ExitNotFound      = Exit{5, "NotFound", "What the command names does not exist. Nothing was changed."}
	ExitConflict      = Exit{6, "Conflict", "Somebody else has changed it, or a newer plan is in force. Nothing was changed."}
	ExitRefused       = Exit{7, "Refused", "The sheet, configuration or request is not valid. Nothing was changed."}
	ExitResultUnknown = Exit{8, "ResultUnknown", "The answer was lost. The change may have taken effect; look before repeating it."}
	ExitNotInForce    = Exit{9, "NotInForce", "The change was accepted and is not yet in force everywhere."}
	ExitUnavailable   = Exit{10, "Unavailable", "The store or a leader does not answer. Nothing was changed; repeat it later."}
)

// Exits lists all exit codes in order.
var Exits = []Exit{
	ExitDone, ExitInternal, ExitUsage, ExitUnreachable, ExitNotAllowed, ExitNotFound, ExitConflict,
	ExitRefused, ExitResultUnknown, ExitNotInForce, ExitUnavailable,
}

// exitByStatus maps the HTTP status of an error answer to an exit code.
var exitByStatus = map[int]Exit{
	400: ExitRefused,
	401: ExitNotAllowed,
	403: ExitNotAllowed,
	404: ExitNotFound,
	409: ExitConflict,
	413: ExitRefused,
	422: ExitRefused,
	503: ExitUnavailable,
	504: ExitResultUnknown,
}

// commandError is an error with its exit code.
type commandError struct {
	exit Exit
	err  error
}

func (ce *commandError) Error() string { return ce.err.Error() }

func (ce *commandError) Unwrap() error { return ce.err }

func failf(ex Exit, format string, args ...any) error {
	return &commandError{exit: ex, err: fmt.Errorf(format, args...)}
}

func exitOf(err error) Exit {
	var ce *commandError
	if errors.As(err, &ce) {
		return ce.exit
	}
	return ExitInternal
}

// oneLine returns the error's text on one line, so that scripts can process errors line by line.
func oneLine(err error) string { return strings.Join(strings.Fields(err.Error()), " ") }
