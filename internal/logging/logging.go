// Package logging owns the form of log lines: key=value text with the event's name first, or one JSON object a line.
// It must never hold a line back, and never be handed a token or a body.
package logging

import (
	"fmt"
	"io"
	"log/slog"
	"slices"
)

// Formats and Levels are the names that Set takes.
var (
	Formats = []string{"text", "json"}
	Levels  = []string{"debug", "info", "warn", "error"}
)

// Set makes every line of log/slog's default logger go to w in a format and from a level on. A line's message is the
// name of its event.
func Set(w io.Writer, format, level string) error {
	var least slog.Level
	if !slices.Contains(Levels, level) || least.UnmarshalText([]byte(level)) != nil {
		return fmt.Errorf("log-level: %q is none of %q", level, Levels)
	}
	opt := &slog.HandlerOptions{Level: least, ReplaceAttr: func(groups []string, a slog.Attr) slog.Attr {
		if len(groups) == 0 && a.Key == slog.MessageKey {
			a.Key = "event"
		}
		return a
	}}
	switch format {
	case "text":
		slog.SetDefault(slog.New(slog.NewTextHandler(w, opt)))
	case "json":
		slog.SetDefault(slog.New(slog.NewJSONHandler(w, opt)))
	default:
		return fmt.Errorf("log-format: %q is none of %q", format, Formats)
	}
	return nil
}
