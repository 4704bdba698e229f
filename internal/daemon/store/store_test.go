package store_test

import (
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"sprucelane.example/sprucelane/internal/daemon/store"
	"sprucelane.example/sprucelane/internal/daemon/store/faultfs"
)

// noBackgroundFlush are options with which records are flushed only when a writer waits for it.
var noBackgroundFlush = store.Options{FlushInterval: time.Hour}

// open opens a store, and fails the test on an error.
func open(t testing.TB, fs store.FS, opt store.Options) *store.Store {
	s, err := store.Open(fs, opt)
	require.NoError(t, err)
	return s
}

// put writes pairs of keys and values as one batch.
func put(t testing.TB, s *store.Store, d store.Durability, pairs ...string) {
	var b store.Batch
	for i := 0; i+1 < len(pairs); i += 2 {
		b.Put([]byte(pairs[i]), []byte(pairs[i+1]))
	}
	require.NoError(t, s.Write(&b, d))
}

// all returns the content of a store.
func all(t testing.TB, s *store.Store) map[string]string {
	m := map[string]string{}
	require.NoError(t, s.Each(nil, func(k, v []byte) bool { m[string(k)] = string(v); return true }))
	return m
}

// After each reopening of a directory of the operating system, every key has the value that was written last.
func TestReopen(t *testing.T) {
	dir := t.TempDir()
	want := map[string]string{}
	var id store.ID
	for process := range 4 {
		fs, err := store.OpenDir(dir)
		require.NoError(t, err)
		s := open(t, fs, store.Options{SegmentBytes: 2000, CheckpointBytes: 3000})
		if process == 0 {
			id = s.ID()
		}
		assert.Equal(t, id, s.ID())
		assert.EqualValues(t, process+1, s.Epoch())
		assert.Equal(t, want, all(t, s))
		for i := range 60 {
			key, value := fmt.Sprint("key-", i%17), strings.Repeat(fmt.Sprint(process, "-", i, "."), 1+i%30)
			put(t, s, store.Durability(i%3), key, value)
			want[key] = value
		}
		var b store.Batch
		b.Delete([]byte("key-3"))
		require.NoError(t, s.Write(&b, store.GroupCommit))
		delete(want, "key-3")
		assert.Equal(t, want, all(t, s))
		_, ok, err := s.Get([]byte("key-3"))
		require.NoError(t, err)
		assert.False(t, ok)
		require.NoError(t, s.Close())
		require.NoError(t, s.Close(), "a second Close does nothing")
		var none store.Batch
		none.Put([]byte("x"), nil)
		assert.ErrorIs(t, s.Write(&none, store.Buffered), store.ErrClosed)
	}
}

// A second opener gets ErrLocked.
func TestLockExcludesOtherProcesses(t *testing.T) {
	fs, err := store.OpenDir(t.TempDir())
	require.NoError(t, err)
	s := open(t, fs, noBackgroundFlush)
	_, err = store.Open(fs, noBackgroundFlush)
	assert.ErrorIs(t, err, store.ErrLocked)
	_, err = store.Verify(fs)
	assert.ErrorIs(t, err, store.ErrLocked)
	require.NoError(t, s.Close())
	require.NoError(t, open(t, fs, noBackgroundFlush).Close())
}

// The limits of keys, values, bytes and entries hold.
func TestLimits(t *testing.T) {
	s := open(t, faultfs.New(), store.Options{MaxBytes: 3000, MaxEntries: 3, FlushInterval: time.Hour})
	write := func(key, value string) error {
		var b store.Batch
		b.Put([]byte(key), []byte(value))
		return s.Write(&b, store.Buffered)
	}
	assert.Error(t, write("", "x"))
	assert.Error(t, write(strings.Repeat("k", store.MaxKeySize+1), "x"))
	assert.Error(t, write("k", strings.Repeat("v", store.MaxValueSize+1)))
	assert.ErrorIs(t, write("k", strings.Repeat("v", 3000)), store.ErrLimitExceeded)
	for i := range 3 {
		require.NoError(t, write(fmt.Sprint(i), "x"))
	}
	assert.ErrorIs(t, write("4", "x"), store.ErrLimitExceeded)
	require.NoError(t, s.Write(&store.Batch{}, store.Immediate))
}

// Compaction keeps live records, frees the rest, and deleted keys stay deleted.
func TestCompaction(t *testing.T) {
	fs := faultfs.New()
	s := open(t, fs, noBackgroundFlush)
	want := map[string]string{}
	for round := range 6 {
		for i := range 40 {
			key, value := fmt.Sprint(i), strings.Repeat(fmt.Sprint(round, ":", i, " "), 20)
			put(t, s, store.Buffered, key, value)
			want[key] = value
		}
		var b store.Batch
		for i := range 10 {
			b.Delete([]byte(fmt.Sprint(i)))
			delete(want, fmt.Sprint(i))
		}
		require.NoError(t, s.Write(&b, store.Buffered))
		before := s.Counters().DiskBytes
		require.NoError(t, s.Compact())
		if round > 0 {
			assert.Less(t, s.Counters().DiskBytes, before)
		}
		assert.Equal(t, want, all(t, s))
	}
	assert.EqualValues(t, 30, s.Counters().Entries)
	crashed := fs.Crash(1)
	require.NoError(t, s.Close())
	for _, left := range []*faultfs.FS{fs, crashed} {
		s := open(t, left, noBackgroundFlush)
		assert.Equal(t, want, all(t, s))
		require.NoError(t, s.Close())
	}
}

// history is a sequence of batches, and how many of them were acknowledged as durable.
type history struct {
	states  []map[string]string // states[n]: after n batches
	durable int                 // batches that were acknowledged as durable
}

// runWorkload writes the given number of random batches, and compacts after some of them, until the disk fails.
func runWorkload(s *store.Store, rng *rand.Rand, batches int, st *history) {
	if len(st.states) == 0 {
		st.states = []map[string]string{{}}
	}
	for range batches {
		var b store.Batch
		state := maps.Clone(st.states[len(st.states)-1])
		for range 1 + rng.IntN(3) {
			key := fmt.Sprint("k", rng.IntN(12))
			if rng.IntN(5) == 0 {
				b.Delete([]byte(key))
				delete(state, key)
				continue
			}
			value := strings.Repeat(fmt.Sprint(len(st.states), "."), rng.IntN(60))
			b.Put([]byte(key), []byte(value))
			state[key] = value
		}
		st.states = append(st.states, state)
		d := store.Durability(rng.IntN(3))
		if s.Write(&b, d) != nil {
			return
		}
		if d != store.Buffered {
			st.durable = len(st.states) - 1
		}
		if rng.IntN(20) == 0 && s.Compact() != nil {
			return
		}
	}
}

// checkPrefix checks that a store opens with the state after a prefix of the batches that includes all durable ones. It
// returns the history up to that state.
func checkPrefix(t testing.TB, fs *faultfs.FS, st history, where string) history {
	s, err := store.Open(fs, noBackgroundFlush)
	require.NoError(t, err, where)
	got := all(t, s)
	require.NoError(t, s.Close(), where)
	for n := len(st.states) - 1; n >= st.durable; n-- {
		if maps.Equal(got, st.states[n]) {
			return history{states: st.states[:n+1], durable: n}
		}
	}
	require.Failf(t, "not the content after a prefix", "%s: %d of %d batches were durable, got %v", where, st.durable,
		len(st.states)-1, got)
	return st
}

// The power is cut at every operation on the disk, while batches are written, segments sealed, checkpoints written
// and segments compacted, and for some of these cuts again at each operation of the recovery. No durable batch is
// lost, none is applied in part, and none is invented.
func TestPowerCutAtEveryOperation(t *testing.T) {
	small := store.Options{FlushInterval: time.Hour, SegmentBytes: 1200, CheckpointBytes: 2500}
	run := func(cut int, seed uint64) (*faultfs.FS, history, int) {
		fs, st := faultfs.New(), history{}
		fs.PowerCutAt = cut
		s, err := store.Open(fs, small)
		if err != nil {
			st.states = []map[string]string{{}}
			return fs, st, fs.Ops()
		}
		runWorkload(s, rand.New(rand.NewPCG(seed, 1)), 30, &st)
		if s.Close() == nil {
			st.durable = len(st.states) - 1
		}
		return fs, st, fs.Ops()
	}
	_, _, ops := run(0, 1)
	require.Greater(t, ops, 100)
	for cut := 1; cut <= ops; cut++ {
		fs, st, _ := run(cut, 1)
		for seed := range uint64(3) {
			where := fmt.Sprintf("cut at %d of %d, crash %d", cut, ops, seed)
			left := fs.Crash(seed)
			checkPrefix(t, left.Clone(), st, where)
			if cut%7 != 0 {
				continue
			}
			for again := 1; again < 30; again++ { // the power is cut during recovery, too
				twice := left.Clone()
				twice.PowerCutAt = again
				s, err := store.Open(twice, small)
				if err == nil {
					s.Close()
				}
				checkPrefix(t, twice.Crash(seed), st, fmt.Sprintf("%s, again at %d", where, again))
			}
		}
	}
}

// A thousand processes end in power cuts at random operations. Each opens the store that the previous one left.
func TestRandomCrashes(t *testing.T) {
	for seed := uint64(1); seed <= 50; seed++ {
		rng := rand.New(rand.NewPCG(seed, 2))
		fs, st := faultfs.New(), history{states: []map[string]string{{}}}
		for process := range 20 {
			fs.PowerCutAt = 1 + rng.IntN(80)
			s, err := store.Open(fs, store.Options{FlushInterval: time.Hour, SegmentBytes: 700, CheckpointBytes: 1500})
			if err == nil {
				runWorkload(s, rng, 1+rng.IntN(25), &st)
				if s.Close() == nil {
					st.durable = len(st.states) - 1
				}
			}
			fs = fs.Crash(rng.Uint64())
			next := fs.Clone()
			st = checkPrefix(t, next, st, fmt.Sprintf("seed %d, process %d", seed, process))
			fs = next
		}
	}
}

// closedStore returns the directory of a store that was closed, with a checkpoint, a compacted segment and several
// others, and its content.
func closedStore(t testing.TB) (*faultfs.FS, map[string]string) {
	fs := faultfs.New()
	var st history
	for process := range uint64(2) {
		s := open(t, fs, store.Options{FlushInterval: time.Hour, SegmentBytes: 500, CheckpointBytes: 900})
		runWorkload(s, rand.New(rand.NewPCG(process, 3)), 12, &st)
		require.NoError(t, s.Close())
	}
	return fs, st.states[len(st.states)-1]
}

// Every file of a closed store is truncated at every byte, and a bit of every byte flipped. The store opens with
// the whole content, or reports which file is corrupt. It never opens with missing or other content. Verify reports the
// same, and after Repair the store opens, with no key that was never written.
func TestTruncationAndBitFlipAtEveryByte(t *testing.T) {
	fs, want := closedStore(t)
	names, err := fs.List()
	require.NoError(t, err)
	refused, opened := 0, 0
	check := func(bad *faultfs.FS, where string, repair bool) {
		s, err := store.Open(bad.Clone(), noBackgroundFlush)
		if err != nil {
			var damage *store.CorruptionError
			require.ErrorAs(t, err, &damage, where)
			refused++
			findings, err := store.Verify(bad)
			require.NoError(t, err, where)
			require.True(t, func() bool {
				for _, f := range findings {
					if f.DataLoss {
						return true
					}
				}
				return false
			}(), where)
		} else {
			got := map[string]string{}
			err := s.Each(nil, func(k, v []byte) bool { got[string(k)] = string(v); return true })
			require.NoError(t, s.Close())
			if err == nil {
				require.Equal(t, want, got, where)
				opened++
			} else { // the index is intact, and a record that it names is not
				require.ErrorContains(t, err, "can't be read", where)
				refused++
			}
		}
		if !repair {
			return
		}
		if _, err := store.Repair(bad); err != nil {
			return // nothing was readable
		}
		s, err = store.Open(bad, noBackgroundFlush)
		require.NoError(t, err, where)
		for k := range all(t, s) {
			require.True(t, strings.HasPrefix(k, "k"), where)
		}
		require.NoError(t, s.Close())
	}
	for _, name := range names {
		b := fs.Bytes(name)
		for at := range b {
			bad := fs.Clone()
			bad.SetBytes(name, b[:at])
			check(bad, fmt.Sprintf("%s cut at %d of %d", name, at, len(b)), at%9 == 0)
			bad = fs.Clone()
			flipped := append([]byte(nil), b...)
			flipped[at] ^= 1 << (at % 8)
			bad.SetBytes(name, flipped)
			check(bad, fmt.Sprintf("%s flipped at %d of %d", name, at, len(b)), at%9 == 0)
		}
		if strings.HasSuffix(name, ".seg") {
			bad := fs.Clone()
			bad.SetBytes(name, nil)
			_, err := store.Open(bad, noBackgroundFlush)
			assert.ErrorContains(t, err, "missing", name)
		}
	}
	assert.NotZero(t, refused)
	assert.NotZero(t, opened, "the store opens without a checkpoint")
}

// After a crash, a bit of every byte of the active segment is flipped. A flipped record that others follow is
// detected as lost; a flip in the last one can't be distinguished from a torn write.
func TestBitFlipsAfterCrash(t *testing.T) {
	fs := faultfs.New()
	s := open(t, fs, noBackgroundFlush)
	for i := range 8 {
		put(t, s, store.Immediate, fmt.Sprint("k", i), strings.Repeat("v", 20))
	}
	names, _ := fs.List()
	last := ""
	for _, n := range names {
		if strings.HasSuffix(n, ".seg") {
			last = n
		}
	}
	b := fs.Bytes(last)
	for at := range b {
		bad := fs.Crash(1)
		flipped := append([]byte(nil), b...)
		flipped[at] ^= 1
		bad.SetBytes(last, flipped)
		s, err := store.Open(bad, noBackgroundFlush)
		if err != nil {
			var damage *store.CorruptionError
			require.ErrorAs(t, err, &damage)
			continue
		}
		require.GreaterOrEqual(t, len(all(t, s)), 7, "byte %d", at)
		s.Close()
	}
}

// After a write or fsync has failed, no write is acknowledged, and all batches acknowledged before are still readable.
func TestDiskErrors(t *testing.T) {
	for _, kind := range []string{"full", "sync"} {
		for at := 1; at < 60; at++ {
			fs := faultfs.New()
			if kind == "full" {
				fs.DiskFullAt = at
			} else {
				fs.SyncErrorAt = at
			}
			var st history
			s, err := store.Open(fs, store.Options{FlushInterval: time.Hour, SegmentBytes: 600})
			if err == nil {
				runWorkload(s, rand.New(rand.NewPCG(uint64(at), 4)), 20, &st)
				if s.Err() != nil {
					var b store.Batch
					b.Put([]byte("later"), nil)
					assert.Error(t, s.Write(&b, store.Immediate), "writes after a failure")
				}
				s.Close()
			} else {
				st.states = []map[string]string{{}}
			}
			left := fs.Crash(uint64(at))
			checkPrefix(t, left, st, fmt.Sprint(kind, " at ", at))
		}
	}
}

// A disk that ignores syncs loses durable batches, but the remaining content is still a prefix of the batches.
func TestIgnoredSyncs(t *testing.T) {
	for seed := uint64(1); seed < 40; seed++ {
		fs := faultfs.New()
		fs.IgnoreSync = true
		var st history
		s := open(t, fs, store.Options{FlushInterval: time.Hour, SegmentBytes: 600})
		runWorkload(s, rand.New(rand.NewPCG(seed, 5)), 20, &st)
		left, err := store.Open(fs.Crash(seed), noBackgroundFlush)
		if err != nil {
			continue // the loss was detected
		}
		got := all(t, left)
		known := false
		for _, state := range st.states {
			known = known || maps.Equal(got, state)
		}
		assert.True(t, known, "seed %d: %v", seed, got)
		left.Close()
		s.Close()
	}
}

// Files of another format version, segments of another store, and a directory whose manifest is lost are rejected
// with an error that names the file.
func TestForeignAndIncompleteDirectories(t *testing.T) {
	fs, _ := closedStore(t)
	names, _ := fs.List()
	for _, name := range names {
		b := fs.Bytes(name)
		if len(b) < 6 || strings.HasSuffix(name, ".ckp") {
			continue
		}
		later := fs.Clone()
		binary.BigEndian.PutUint16(b[4:], 2)
		later.SetBytes(name, b)
		_, err := store.Open(later, noBackgroundFlush)
		assert.ErrorContains(t, err, "form 2", name)
		assert.ErrorContains(t, err, name)
	}
	lost := fs.Clone()
	lost.SetBytes("MANIFEST", nil)
	_, err := store.Open(lost, noBackgroundFlush)
	assert.ErrorContains(t, err, "MANIFEST")
	other, _ := closedStore(t)
	for _, name := range names {
		if strings.HasSuffix(name, ".seg") && other.Bytes(name) != nil {
			mixed := fs.Clone()
			mixed.SetBytes(name, other.Bytes(name))
			_, err := store.Open(mixed, noBackgroundFlush)
			assert.ErrorContains(t, err, "another store", name)
		}
	}
}

// With concurrent readers, writers and compactions, each key is a linearizable register.
func TestLinearizable(t *testing.T) {
	type op struct {
		write bool
		key   string
		value string
	}
	model := porcupine.Model{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			parts := map[string][]porcupine.Operation{}
			for _, o := range history {
				k := o.Input.(op).key
				parts[k] = append(parts[k], o)
			}
			var list [][]porcupine.Operation
			for _, p := range parts {
				list = append(list, p)
			}
			return list
		},
		Init: func() any { return "" },
		Step: func(state, in, out any) (bool, any) {
			if o := in.(op); o.write {
				return true, o.value
			}
			return out.(string) == state.(string), state
		},
	}
	s := open(t, faultfs.New(), store.Options{FlushInterval: time.Millisecond, SegmentBytes: 3000, CheckpointBytes: 5000})
	began := time.Now()
	var mu sync.Mutex
	var history []porcupine.Operation
	var all sync.WaitGroup
	for client := range 6 {
		all.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(client), 6))
			for i := range 150 {
				o, out := op{write: rng.IntN(2) == 0, key: fmt.Sprint(rng.IntN(3))}, ""
				call := time.Since(began).Nanoseconds()
				if o.write {
					o.value = strings.Repeat(fmt.Sprint(client, "-", i, " "), 1+rng.IntN(30))
					var b store.Batch
					b.Put([]byte(o.key), []byte(o.value))
					if err := s.Write(&b, store.Durability(rng.IntN(3))); err != nil {
						t.Error(err)
						return
					}
				} else {
					v, _, err := s.Get([]byte(o.key))
					if err != nil {
						t.Error(err)
						return
					}
					out = string(v)
				}
				mu.Lock()
				history = append(history, porcupine.Operation{ClientId: client, Input: o, Call: call, Output: out,
					Return: time.Since(began).Nanoseconds()})
				mu.Unlock()
			}
		})
	}
	all.Go(func() {
		for range 10 {
			if err := s.Compact(); err != nil {
				t.Error(err)
			}
		}
	})
	all.Wait()
	assert.True(t, porcupine.CheckOperations(model, history))
	require.NoError(t, s.Close())
}

// Buffered writes are flushed after FlushInterval.
func TestBufferedWritesReachTheDisk(t *testing.T) {
	fs := faultfs.New()
	s := open(t, fs, store.Options{FlushInterval: 5 * time.Millisecond})
	put(t, s, store.Buffered, "k1", "v")
	require.Eventually(t, func() bool { return s.Counters().Syncs > 0 }, 10*time.Second, time.Millisecond)
	left := open(t, fs.Crash(3), noBackgroundFlush)
	assert.Equal(t, map[string]string{"k1": "v"}, all(t, left))
	require.NoError(t, left.Close())
	require.NoError(t, s.Close())
}

// Each visits only keys with the prefix, and stops when visit returns false.
func TestEach(t *testing.T) {
	s := open(t, faultfs.New(), noBackgroundFlush)
	put(t, s, store.Buffered, "a1", "", "a2", "", "b1", "")
	var keys []string
	require.NoError(t, s.Each([]byte("a"), func(k, _ []byte) bool { keys = append(keys, string(k)); return true }))
	assert.Equal(t, []string{"a1", "a2"}, keys)
	n := 0
	require.NoError(t, s.Each(nil, func([]byte, []byte) bool { n++; return false }))
	assert.Equal(t, 1, n)
	assert.False(t, errors.Is(s.Err(), store.ErrClosed))
}

// No content of a file makes Open or Verify panic.
func FuzzOpen(f *testing.F) {
	fs, _ := closedStore(f)
	names, _ := fs.List()
	for _, name := range names {
		f.Add(name, fs.Bytes(name))
	}
	f.Fuzz(func(t *testing.T, name string, b []byte) {
		bad := fs.Clone()
		bad.SetBytes(name, b)
		store.Verify(bad)
		if s, err := store.Open(bad, noBackgroundFlush); err == nil {
			s.Each(nil, func([]byte, []byte) bool { return true })
			s.Close()
		}
	})
}

// A store is closed during concurrent calls of Write, with each durability, and of ID and Epoch. Acknowledged keys are
// there when it is opened again; all other calls of Write returned ErrClosed.
func TestCloseDuringWrites(t *testing.T) {
	for seed := range 40 {
		fs := faultfs.New()
		s, err := store.Open(fs, store.Options{FlushInterval: time.Millisecond, SegmentBytes: 600})
		require.NoError(t, err)
		var mu sync.Mutex
		acknowledged := map[string]bool{}
		var all sync.WaitGroup
		for writer := range 6 {
			all.Go(func() {
				for i := 0; ; i++ {
					key := fmt.Sprint(writer, "-", i)
					var b store.Batch
					b.Put([]byte(key), []byte("v"))
					durability := []store.Durability{store.GroupCommit, store.Immediate, store.Buffered}[writer%3]
					if err := s.Write(&b, durability); err != nil {
						assert.ErrorIs(t, err, store.ErrClosed)
						return
					}
					_, _ = s.ID(), s.Epoch()
					mu.Lock()
					acknowledged[key] = true
					mu.Unlock()
				}
			})
		}
		time.Sleep(time.Duration(seed%5) * 200 * time.Microsecond)
		require.NoError(t, s.Close())
		all.Wait()
		s, err = store.Open(fs, store.Options{})
		require.NoError(t, err)
		for key := range acknowledged {
			_, found, err := s.Get([]byte(key))
			assert.True(t, found && err == nil, "key %s was acknowledged, and is missing: %v", key, err)
		}
		require.NoError(t, s.Close())
	}
}
