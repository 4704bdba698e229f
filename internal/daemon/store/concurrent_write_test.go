package store_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sprucelane.example/sprucelane/internal/daemon/store"
	"sprucelane.example/sprucelane/internal/daemon/store/faultfs"
)

// hookedFS calls beforeSync at the start of every sync of a segment.
type hookedFS struct {
	*faultfs.FS
	beforeSync func()
}

// hookedFile is a segment of a hookedFS.
type hookedFile struct {
	store.File
	beforeSync func()
}

// Open implements store.FS.
func (h *hookedFS) Open(name string, create bool) (store.File, error) {
	f, err := h.FS.Open(name, create)
	if err == nil && strings.HasSuffix(name, ".seg") {
		f = hookedFile{f, func() { h.beforeSync() }}
	}
	return f, err
}

// Sync implements store.File.
func (f hookedFile) Sync() error { f.beforeSync(); return f.File.Sync() }

// A key is written again while its previous value is being flushed, and a checkpoint is written before the new value is
// flushed: the checkpoint has the previous value, and a store that is opened after a power failure
// returns it.
func TestWriteDuringFlushOfSameKey(t *testing.T) {
	disk := &hookedFS{FS: faultfs.New(), beforeSync: func() {}}
	s, err := store.Open(disk, store.Options{FlushInterval: time.Hour, CheckpointBytes: 1})
	require.NoError(t, err)
	write := func(value string, d store.Durability) {
		var b store.Batch
		b.Put([]byte("k"), []byte(value))
		assert.NoError(t, s.Write(&b, d))
	}
	syncs, made := 0, s.Counters().Checkpoints
	disk.beforeSync = func() { // runs in the sync of the first value, and of the second one before the checkpoint
		if syncs++; syncs <= 2 {
			write([]string{"second", "third"}[syncs-1], store.Buffered)
		}
	}
	write("first", store.GroupCommit)
	require.Eventually(t, func() bool { return s.Counters().Checkpoints > made }, time.Minute, time.Millisecond)
	left := disk.Crash(1)
	again, err := store.Open(left, noBackgroundFlush)
	require.NoError(t, err)
	value, ok, err := again.Get([]byte("k"))
	require.NoError(t, err)
	assert.True(t, ok)
	assert.Equal(t, "second", string(value))
	require.NoError(t, again.Close())
	require.NoError(t, s.Close())
}
