package server

import (
	"errors"
	"time"

	"sprucelane.example/sprucelane/internal/batch/replica"
	"sprucelane.example/sprucelane/internal/batch/wal"
	"sprucelane.example/sprucelane/internal/protocol"
)

// reservedDiskShare is the share of disk-mb that new batch jobs leave free for the results of stored batch jobs.
const reservedDiskShare = 0.2

// removeInterval is the time between attempts to remove log segments that are no longer needed.
const removeInterval = 5 * time.Second

// disk is the log with the space that it may take.
type disk struct {
	wal      *wal.WAL
	capacity int64 // bytes
}

// openDisk opens the incarnation and replays the log that earlier processes wrote into a new state machine.
// Records that can't be used are logged, and stay on the disk.
func (s *Server) openDisk() error {
	opened, err := openIncarnation(s.settings.DataDir)
	if err != nil {
		return err
	}
	s.process = protocol.Process{
		Node: s.settings.NodeName, Role: protocol.RoleBatch, Zone: s.settings.Zone, IP: s.settings.IP,
		Incarnation: opened.id,
	}
	capacity := int64(s.settings.Limits.DiskMB) << 20
	s.stateMachine = replica.New(replica.Options{
		Self: s.process, ProcessIncarnation: opened.starts,
		ReplicationFactor: s.settings.Tolerance.Machines + 1,
		Retention:         s.settings.Bounds.Status + 2*s.settings.Bounds.SkewMax,
		MinFreeBytes:      int64(reservedDiskShare * float64(capacity)),
	}, s)
	s.disk = &disk{capacity: capacity}
	if opened.unreadable {
		s.log.Error().Str("incarnation", opened.id).Msg("incarnation_unreadable")
	}
	options := wal.Options{
		OnSkipped:   func(at wal.Location) { s.logFinding(s.stateMachine.ReplaySkipped(at)) },
		OnTruncated: s.logTruncation,
	}
	s.disk.wal, err = wal.Open(s.settings.DataDir, options, s.replay, s.onDurable)
	return err
}

// replay passes a record to the state machine. A record that can't be used is logged and the start continues,
// because the other records are still of use.
func (s *Server) replay(at wal.Location, record []byte) error {
	var finding *replica.Finding
	if errors.As(s.stateMachine.Replay(at, record), &finding) {
		s.logFinding(finding)
	}
	return nil
}

// logFinding logs a part of the log that can't be used.
func (s *Server) logFinding(finding *replica.Finding) {
	s.log.Error().Str("problem", string(finding.Problem)).
		Uint32("segment", finding.At.Segment).Uint32("offset", finding.At.Offset).Uint32("length", finding.At.Length).
		Uint8("kind", finding.Kind).Str("batch_job", finding.Job).
		Int("position", finding.Position).Int("sound_results", finding.SoundResults).Msg("record_corrupt")
}

// logTruncation logs that the tail of the log was truncated. This is a warning, not an error: a kill or a loss of
// power can leave a tail of records that were never reported as durable. Corruption of the records that were synced
// last looks the same.
func (s *Server) logTruncation(at wal.Location) {
	s.truncatedBytes += int64(at.Length)
	s.log.Warn().Uint32("segment", at.Segment).Uint32("offset", at.Offset).Uint32("length", at.Length).
		Msg("log_tail_truncated")
}

// onDurable reports synced records to the state machine. It is called by the log's goroutine. An error is final:
// the log writes nothing more, and Run returns the error, which ends the process. A full disk is not an error, as
// the log waits for space.
func (s *Server) onDurable(sequence uint64, err error) {
	if err != nil {
		s.log.Error().Err(err).Msg("log_failed")
		select {
		case s.diskFailed <- err:
		default:
		}
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stateMachine.Synced(sequence)
}

// removeSegments removes the segments of the log that the state machine no longer needs.
func (s *Server) removeSegments() {
	oldest, active := s.disk.wal.SegmentRange()
	s.mutex.Lock()
	needed := s.stateMachine.OldestSegment(active)
	s.mutex.Unlock()
	for ; oldest < needed; oldest++ {
		if err := s.disk.wal.RemoveSegment(oldest); err != nil {
			s.log.Warn().Err(err).Msg("segment_not_removed")
			return
		}
	}
}
