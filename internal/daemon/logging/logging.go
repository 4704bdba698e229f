// Package logging configures log/slog for the daemon: lines of key=value text, or one JSON object a line, each with
// the name of its event in the key "event". Lines must not contain tokens or bodies.
package logging

import (
	"fmt"
	"io"
	"log/slog"
	"slices"
)

// Formats and Levels are the values that Set accepts.
var (
	Formats = []string{"text", "json"}
	Levels  = []string{"debug", "info", "warn", "error"}
)

// eventKey is the key of a line's message in the place of slog's "msg".
const eventKey = "event"

// Set makes slog's default logger write lines of a level or above to w in a format. It is an error if the format or
// the level is unknown.
func Set(w io.Writer, format, level string) error {
	var least slog.Level
	if !slices.Contains(Levels, level) || least.UnmarshalText([]byte(level)) != nil {
		return fmt.Errorf("log-level: %q is none of %q", level, Levels)
	}
	options := &slog.HandlerOptions{Level: least, ReplaceAttr: func(groups []string, a slog.Attr) slog.Attr {
		if len(groups) == 0 && a.Key == slog.MessageKey {
			a.Key = eventKey
		}
		return a
	}}
	switch format {
	case "text":
		slog.SetDefault(slog.New(slog.NewTextHandler(w, options)))
	case "json":
		slog.SetDefault(slog.New(slog.NewJSONHandler(w, options)))
	default:
		return fmt.Errorf("log-format: %q is none of %q", format, Formats)
	}
	return nil
}
