// Package logging configures log/slog for the daemon. It writes lines of key=value text or one JSON object per line.
// Each line has the name of its event in the key "event". Lines must not contain tokens or bodies.
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

// eventKey is the key of a line's message, instead of slog's "msg".
const eventKey = "event"

// Set makes slog's default logger write lines of the given level or above to w in the given format. It returns an error
// if the format or the level is unknown.
func Set(w io.Writer, format, level string) error {
	var minLevel slog.Level
	if !slices.Contains(Levels, level) || minLevel.UnmarshalText([]byte(level)) != nil {
		return fmt.Errorf("log-level: %q, want one of %q", level, Levels)
	}
	options := &slog.HandlerOptions{Level: minLevel, ReplaceAttr: func(groups []string, a slog.Attr) slog.Attr {
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
		return fmt.Errorf("log-format: %q, want one of %q", format, Formats)
	}
	return nil
}
