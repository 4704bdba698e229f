package config

import (
	"errors"
	"fmt"
)

// errorList collects all errors of a configuration, so that an operator can correct them all at once. The text of each
// error begins with its key.
type errorList struct {
	errs []error

	// The list of one file's errors has a parent, and adds its errors to the parent instead, prefixed with the file's
	// name.
	file   string
	parent *errorList
}

// errorsOfFile returns a list that adds its errors to parent, prefixed with the file's name.
func errorsOfFile(parent *errorList, file string) *errorList {
	return &errorList{file: file, parent: parent}
}

// add adds an error. A nil error is ignored.
func (l *errorList) add(err error) {
	switch {
	case err == nil:
	case l.parent != nil:
		l.parent.add(fmt.Errorf("%s: %w", l.file, err))
	default:
		l.errs = append(l.errs, err)
	}
}

func (l *errorList) addf(format string, values ...any) { l.add(fmt.Errorf(format, values...)) }

// err returns all errors joined, or nil if there are none.
func (l *errorList) err() error { return errors.Join(l.errs...) }

// Errors returns the single errors of which an error of Load, Reload or Parse consists.
func Errors(err error) []error {
	if err == nil {
		return nil
	}
	var joined interface{ Unwrap() []error }
	if errors.As(err, &joined) {
		return joined.Unwrap()
	}
	return []error{err}
}
