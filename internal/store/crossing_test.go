package store_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sprucelane.example/sprucelane/internal/store"
	"sprucelane.example/sprucelane/internal/store/faultfs"
)

// hooked is a folder that lets a test do something while a segment's sync is under way.
type hookedFS struct {
	*faultfs.FS
	beforeSync func()
}

type hookedFile struct {
	store.File
	beforeSync func()
}

func (h *hookedFS) Open(name string, create bool) (store.File, error) {
	f, err := h.FS.Open(name, create)
	if err == nil && strings.HasSuffix(name, ".seg") {
		f = hookedFile{f, func() { h.beforeSync() }}
	}
	return f, err
}

func (f hookedFile) Sync() error { f.beforeSync(); return f.File.Sync() }

// A key is written again while its last value is on the way to the disk, and a checkpoint is made before the new one follows: what
// was on the way is in the checkpoint, and there after a power cut.
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
	disk.beforeSync = func() { // under way: the first value's, then, as a checkpoint is to be made, the second's
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
