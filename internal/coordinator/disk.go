package coordinator

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"go.etcd.io/etcd/client/pkg/v3/fileutil"
	"go.etcd.io/etcd/server/v3/etcdserver/api/snap"
	"go.etcd.io/etcd/server/v3/storage/wal"
	"go.etcd.io/etcd/server/v3/storage/wal/walpb"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"go.uber.org/zap"

	"junctionring/internal/snapshot"
)

// Identity identifies the coordinator that a data folder belongs to. It is stored in the folder: if the folder is lost,
// so is the identity, and an empty folder can't act as the coordinator that voted before. The Go names of the fields are
// keys in the stored JSON.
type Identity struct {
	Group       string
	ID          uint64
	Name        string
	Incarnation uint64 // random, drawn when the folder is created
	Joins       bool   // added to a running group
	First       []Peer // the peers of a joining coordinator until its log lists them
}

const (
	segmentSize       = 8 << 20 // bytes of one log file
	retainedSnapshots = 3
	retainedEntries   = 2_000 // log entries before a snapshot, for followers that lag slightly
)

// The library preallocates 64 MB for each file, which suits far longer logs. This variable is the only way to set it.
func init() { wal.SegmentSizeBytes = segmentSize }

// disk is the durable state of a coordinator: log, snapshots and identity. After an error the coordinator must not send
// anything more, and its process ends.
type disk struct {
	dir           string
	wal           *wal.WAL
	snaps         *snap.Snapshotter
	mem           *raft.MemoryStorage
	snapshotIndex uint64 // index of the newest snapshot
	tornTail      bool   // an incompletely written end of the log was cut off
}

func identityPath(dir string) string { return filepath.Join(dir, "identity") }

func readIdentity(dir string) (id Identity, err error) {
	v, err := snapshot.Load(identityPath(dir))
	if err != nil {
		return id, err
	}
	return id, json.Unmarshal(v.Content, &id)
}

func writeIdentity(dir string, id Identity) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	text, err := json.Marshal(id)
	if err != nil {
		return err
	}
	return snapshot.Save(identityPath(dir), snapshot.Version{Number: 1, Content: text})
}

// openDisk reads the log and the newest snapshot of a data folder, and creates them if there are none. fresh is true if
// the log has no entries yet. A torn end of the log is cut off: what was not completely written was never acknowledged.
// Any other checksum mismatch is an error, and the disk counts as lost.
func openDisk(dir string) (d *disk, snapshot *raftpb.Snapshot, fresh bool, err error) {
	d = &disk{dir: dir, mem: raft.NewMemoryStorage()}
	if err := os.MkdirAll(d.snapDir(), 0o700); err != nil {
		return nil, nil, false, err
	}
	log := zap.NewNop()
	d.snaps = snap.New(log, d.snapDir())
	if !wal.Exist(d.walDir()) {
		d.wal, err = wal.Create(log, d.walDir(), nil)
		return d, nil, true, err
	}
	var entries []*raftpb.Entry
	var hard *raftpb.HardState
	for repaired := false; ; repaired = true {
		known, err := wal.ValidSnapshotEntries(log, d.walDir())
		if err == nil {
			snapshot, err = d.snaps.LoadNewestAvailable(known)
			if errors.Is(err, snap.ErrNoSnapshot) {
				snapshot, err = nil, nil
			}
		}
		if err == nil {
			var at walpb.Snapshot
			if snapshot != nil {
				at.Index, at.Term = new(snapshot.GetMetadata().GetIndex()), new(snapshot.GetMetadata().GetTerm())
			}
			if d.wal, err = wal.Open(log, d.walDir(), &at); err == nil {
				_, hard, entries, err = d.wal.ReadAll()
			}
		}
		if err == nil {
			break
		}
		if d.wal != nil {
			d.wal.Close()
		}
		d.tornTail = true
		if repaired || !errors.Is(err, io.ErrUnexpectedEOF) || !wal.Repair(log, d.walDir()) {
			return nil, nil, false, fmt.Errorf("data folder %s: the log can't be read: %w; unless it can be repaired, treat this disk as lost", dir, err)
		}
	}
	if snapshot != nil {
		if err := d.mem.ApplySnapshot(snapshot); err != nil {
			return nil, nil, false, err
		}
		d.snapshotIndex = snapshot.GetMetadata().GetIndex()
	}
	if hard != nil {
		if err := d.mem.SetHardState(hard); err != nil {
			return nil, nil, false, err
		}
	}
	return d, snapshot, hard == nil && len(entries) == 0 && snapshot == nil, d.mem.Append(entries)
}

func (d *disk) walDir() string  { return filepath.Join(d.dir, "log") }
func (d *disk) snapDir() string { return filepath.Join(d.dir, "snapshots") }

// save writes the snapshot, entries and hard state of a Ready to the disk.
func (d *disk) save(rd *raft.Ready) error {
	if !raft.IsEmptySnap(rd.Snapshot) {
		if err := d.saveSnapshot(rd.Snapshot); err != nil {
			return err
		}
	}
	if err := d.wal.Save(rd.HardState, rd.Entries); err != nil {
		return err
	}
	if !raft.IsEmptySnap(rd.Snapshot) {
		if err := d.mem.ApplySnapshot(rd.Snapshot); err != nil {
			return err
		}
		if err := d.removeOldFiles(); err != nil {
			return err
		}
	}
	return d.mem.Append(rd.Entries)
}

// saveSnapshot writes the snapshot file first and then its record in the log, since a record without its file would make
// the log unreadable.
func (d *disk) saveSnapshot(s *raftpb.Snapshot) error {
	if err := d.snaps.SaveSnap(s); err != nil {
		return err
	}
	m := s.GetMetadata()
	if err := d.wal.SaveSnapshot(&walpb.Snapshot{Index: new(m.GetIndex()), Term: new(m.GetTerm()), ConfState: m.GetConfState()}); err != nil {
		return err
	}
	d.snapshotIndex = m.GetIndex()
	return nil
}

// compact saves a snapshot and drops the entries that it covers, except the newest retainedEntries.
func (d *disk) compact(index uint64, conf *raftpb.ConfState, data []byte) error {
	s, err := d.mem.CreateSnapshot(index, conf, data)
	if err != nil {
		return err
	}
	if err := d.saveSnapshot(s); err != nil {
		return err
	}
	if index > retainedEntries {
		if err := d.mem.Compact(index - retainedEntries); err != nil && !errors.Is(err, raft.ErrCompacted) {
			return err
		}
	}
	return d.removeOldFiles()
}

// removeOldFiles removes all but the newest retainedSnapshots snapshots, and the log files that end before the oldest of
// them.
func (d *disk) removeOldFiles() error {
	snaps, err := fileutil.ReadDir(d.snapDir(), fileutil.WithExt(".snap"))
	if err != nil {
		return err
	}
	slices.Sort(snaps)
	for len(snaps) > retainedSnapshots {
		if err := os.Remove(filepath.Join(d.snapDir(), snaps[0])); err != nil {
			return err
		}
		snaps = snaps[1:]
	}
	var term, oldest uint64
	if len(snaps) < retainedSnapshots {
		return nil
	}
	if _, err := fmt.Sscanf(strings.TrimSuffix(snaps[0], ".snap"), "%016x-%016x", &term, &oldest); err != nil {
		return fmt.Errorf("snapshot file %s: name without term and index: %w", snaps[0], err)
	}
	if err := d.wal.ReleaseLockTo(oldest); err != nil {
		return err
	}
	files, err := fileutil.ReadDir(d.walDir(), fileutil.WithExt(".wal"))
	if err != nil {
		return err
	}
	slices.Sort(files)
	for i := 0; i+1 < len(files); i++ {
		var seq, begins uint64
		if _, err := fmt.Sscanf(files[i+1], "%016x-%016x.wal", &seq, &begins); err != nil || begins > oldest {
			break
		}
		if err := os.Remove(filepath.Join(d.walDir(), files[i])); err != nil {
			return err
		}
	}
	return nil
}

func (d *disk) close() error { return d.wal.Close() }
