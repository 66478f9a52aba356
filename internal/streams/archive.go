package streams

import (
	"cmp"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/threadwall/threadwall/internal/eventlog"
	"github.com/threadwall/threadwall/internal/ids"
	"github.com/threadwall/threadwall/internal/objectapi"
	"github.com/threadwall/threadwall/internal/timing"
)

// ArchivePrefix is the key prefix of saved records in the store.
const ArchivePrefix = "stream-records/"

const (
	// savePause is the pause after each write of a collector: all records of that time go into one write.
	savePause = 200 * time.Millisecond
	// failedPause is the pause after a call that failed.
	failedPause = time.Second
	// segmentRecords is the number of records in one object, of 32 bytes each in the store.
	segmentRecords = 1024
	// maxSegments bounds the objects of one VM. Beyond, the one with the oldest records is used again.
	maxSegments = 64
	// segmentTTL is how long an object is kept after its last record was added: a record is added again after saveAgain.
	segmentTTL = RecordTTL + saveAgain
	// tidyEvery is the interval at which expired objects are deleted.
	tidyEvery = 10 * time.Second
	// archiveTimeout bounds one write with the read that follows if it failed.
	archiveTimeout = 2 * time.Second
	// savedBytes is the size of a record in an object, before its encoding in base64.
	savedBytes = len(Key{}) + 8
	// neededPoll is the interval at which a VM that starts checks whether it needs the saved records.
	neededPoll = 20 * time.Millisecond
)

// Archive saves records of a Directory in the store, and gives it those that were saved before this VM started. Set the exported
// fields before Run.
type Archive struct {
	VM        ids.VM
	Store     objectapi.Store
	Directory *Directory
	// Needed reports whether streams may have begun at several versions; known is false if that can't be said yet.
	Needed func() (needed, known bool)
	// Loads reports whether this VM reads saved records when it starts.
	Loads func() bool
	// Tidies reports whether this VM deletes the expired objects of VMs that are gone.
	Tidies func() bool
	Log    *eventlog.Log

	segments map[int]*segment // this VM's objects, by number
	current  int              // number of the one that gets records
	others   map[string]other // objects of other VMs that were there at the start
}

// segment is one object of this VM.
type segment struct {
	records []saved
	version objectapi.Revision // zero: the store has none, or it is not known
	dirty   bool
	at      time.Time // when the last record was added
}

// other is an object of another VM.
type other struct {
	version objectapi.Revision
	at      time.Time // when it was read
}

// archived is the stored form of a segment.
type archived struct {
	Records []byte `json:"records"`
}

// Run reads the saved records and then saves new ones until ctx ends.
func (a *Archive) Run(ctx context.Context) {
	a.segments, a.others = map[int]*segment{}, map[string]other{}
	a.load(ctx)
	tidy := time.NewTicker(tidyEvery)
	defer tidy.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-tidy.C:
			a.tidy(ctx)
		case <-a.Directory.saveChannel():
		}
		a.save(ctx)
	}
}

// load reads the saved records, once it is known that they are needed.
func (a *Archive) load(ctx context.Context) {
	needed, known := a.Needed()
	for !known {
		if !timing.Sleep(ctx, neededPoll) {
			return
		}
		needed, known = a.Needed()
	}
	if !needed || !a.Loads() {
		return
	}
	for ctx.Err() == nil {
		objects, _, err := a.Store.List(ctx, ArchivePrefix)
		if err == nil {
			a.adopt(objects)
			return
		}
		a.Log.State("stream-records-not-read").Str("error", err.Error()).Send()
		timing.Sleep(ctx, failedPause)
	}
}

// adopt gives the Directory the records of objects.
func (a *Archive) adopt(objects []objectapi.Object) {
	now, n := a.Directory.Now(), 0
	slices.SortFunc(objects, func(x, y objectapi.Object) int { return cmp.Compare(x.Version, y.Version) }) // the oldest first
	for i := range objects {
		o := &objects[i]
		records, err := unpack(o.Value)
		if err != nil {
			a.Log.State("stream-records-rejected").Str("key", o.Key).Str("error", err.Error()).Send()
			continue
		}
		n += len(records)
		a.Directory.restore(records)
		if number, own := a.numberOf(o.Key); own {
			a.segments[number] = &segment{records: records, version: o.Version, at: now}
			a.current = max(a.current, number)
		} else {
			a.others[o.Key] = other{version: o.Version, at: now}
		}
	}
	a.Log.State("stream-records").Int("objects", len(objects)).Int("records", n).Send()
}

// keyOf returns the key of one of this VM's objects.
func (a *Archive) keyOf(number int) string {
	return fmt.Sprintf("%s%s.%d", ArchivePrefix, a.VM, number)
}

// numberOf returns the number of an object if it is this VM's.
func (a *Archive) numberOf(key string) (number int, own bool) {
	text, own := strings.CutPrefix(key, ArchivePrefix+string(a.VM)+".")
	if !own {
		return 0, false
	}
	number, err := strconv.Atoi(text)
	return number, err == nil && a.keyOf(number) == key
}

// save writes the unsaved records.
func (a *Archive) save(ctx context.Context) {
	a.add(a.Directory.takeUnsaved(), a.Directory.Now())
	for number, s := range a.segments {
		if !s.dirty || ctx.Err() != nil {
			continue
		}
		pause := savePause
		if err := a.write(ctx, a.keyOf(number), s); err != nil {
			a.Log.State("stream-records-not-saved").Str("error", err.Error()).Send()
			pause = failedPause
			a.Directory.retrySave()
		}
		timing.Sleep(ctx, pause)
	}
}

// add puts records into the current segment, and into new ones when it is full.
func (a *Archive) add(records []saved, now time.Time) {
	for _, r := range records {
		s := a.segments[a.current]
		if s == nil || len(s.records) >= segmentRecords {
			s = a.nextSegment(now)
		}
		s.records = append(s.records, r)
		s.dirty, s.at = true, now
	}
}

// nextSegment makes a segment without records the current one: one that has expired or, if there are maxSegments, the oldest, or a
// new one.
func (a *Archive) nextSegment(now time.Time) *segment {
	oldest := -1
	for number, s := range a.segments {
		if oldest < 0 || s.at.Before(a.segments[oldest].at) {
			oldest = number
		}
	}
	if oldest >= 0 && (len(a.segments) >= maxSegments || now.Sub(a.segments[oldest].at) >= segmentTTL) {
		a.current = oldest
		a.segments[oldest].records = nil
		return a.segments[oldest]
	}
	a.current = 0
	for a.segments[a.current] != nil {
		a.current++
	}
	s := &segment{}
	a.segments[a.current] = s
	return s
}

// write writes one segment. If the object is not as this VM left it, the next write replaces what is there.
func (a *Archive) write(ctx context.Context, key string, s *segment) error {
	value, err := json.Marshal(archived{Records: pack(s.records)})
	if err != nil {
		return eris.Wrap(err, "encode records of streams")
	}
	ctx, cancel := context.WithTimeout(ctx, archiveTimeout)
	defer cancel()
	var version objectapi.Revision
	if s.version == 0 {
		version, err = a.Store.Create(ctx, key, value)
	} else {
		version, err = a.Store.Update(ctx, key, value, s.version)
	}
	if err == nil {
		s.version, s.dirty = version, false
		return nil
	}
	if errors.Is(err, objectapi.ErrUnavailable) {
		return err
	}
	switch o, getErr := a.Store.Get(ctx, key); {
	case getErr == nil:
		s.version = o.Version
	case errors.Is(getErr, objectapi.ErrNotFound):
		s.version = 0
	}
	return err
}

// tidy deletes expired objects: this VM's, and if it is the one to do so those of VMs that are gone.
func (a *Archive) tidy(ctx context.Context) {
	expired := a.Directory.Now().Add(-segmentTTL)
	for number, s := range a.segments {
		if s.at.After(expired) {
			continue
		}
		if s.version != 0 && a.Store.Delete(ctx, a.keyOf(number), s.version) != nil {
			continue
		}
		delete(a.segments, number)
	}
	for key, o := range a.others {
		if o.at.After(expired) {
			continue
		}
		delete(a.others, key)
		if a.Tidies() {
			_ = a.Store.Delete(ctx, key, o.version) // fails if its VM goes on with it
		}
	}
}

// retrySave makes the Archive save again what it could not.
func (d *Directory) retrySave() {
	select {
	case d.saveChannel() <- struct{}{}:
	default: // a wake-up is pending
	}
}

// pack encodes records.
func pack(records []saved) []byte {
	out := make([]byte, 0, len(records)*savedBytes)
	for _, r := range records {
		out = append(out, r.key[:]...)
		out = binary.BigEndian.AppendUint64(out, uint64(r.version))
	}
	return out
}

// unpack decodes records.
func unpack(value []byte) ([]saved, error) {
	var in archived
	if err := json.Unmarshal(value, &in); err != nil {
		return nil, eris.Wrap(err, "decode records of streams")
	}
	if len(in.Records)%savedBytes != 0 {
		return nil, eris.Errorf("records of streams have %d bytes, want a multiple of %d", len(in.Records), savedBytes)
	}
	out := make([]saved, 0, len(in.Records)/savedBytes)
	for b := in.Records; len(b) > 0; b = b[savedBytes:] {
		out = append(out, saved{key: Key(b[:len(Key{})]), version: Version(binary.BigEndian.Uint64(b[len(Key{}):savedBytes]))})
	}
	return out, nil
}
