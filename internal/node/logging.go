package node

import (
	"io"
	"os"

	"github.com/rs/zerolog"
)

// NewLogger returns a logger to standard error. Lines are JSON objects with the time in milliseconds, the name
// and role of the node, and the event, which is the message. An unknown level is treated as info. NewLogger sets
// global options of zerolog.
func NewLogger(s *Settings, level string) zerolog.Logger {
	return newLogger(os.Stderr, s, level)
}

// newLogger is NewLogger with another output.
func newLogger(out io.Writer, s *Settings, level string) zerolog.Logger {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		parsed = zerolog.InfoLevel
	}
	zerolog.MessageFieldName = "event"
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	return zerolog.New(out).Level(parsed).With().Timestamp().Str("node", s.NodeName).Str("role", s.Role).Logger()
}
