package node

import (
	"io"
	"os"

	"github.com/rs/zerolog"
)

// NewLogger gives a logger whose lines carry the machine's name and role; each line names its event.
func NewLogger(s *Settings, level string) zerolog.Logger {
	return newLogger(os.Stderr, s, level)
}

func newLogger(out io.Writer, s *Settings, level string) zerolog.Logger {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		parsed = zerolog.InfoLevel
	}
	zerolog.MessageFieldName = "event"
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	return zerolog.New(out).Level(parsed).With().Timestamp().Str("node", s.NodeName).Str("role", s.Role).Logger()
}
