// Package snapshot keeps the last good configuration version on disk in one file, whose format and order of writes
// ensure that a crash at any moment leaves either the old version or the new one. It does not validate the content.
package snapshot

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	headerPrefix    = "junctionring-snapshot 1" // first word of the first line, and the format's version
	maxContentBytes = 64 << 20                  // limit for a content that Load reads
)

// Version is a numbered configuration version.
type Version struct {
	Number  int64
	Content []byte
}

// Digest returns the checksum of a content. It distinguishes two contents with the same number.
func Digest(content []byte) uint64 { return xxhash.Sum64(content) }

// checksum covers the number as well: the same content under another number is another version.
func checksum(v Version) uint64 {
	d := xxhash.New()
	fmt.Fprintln(d, v.Number)
	d.Write(v.Content)
	return d.Sum64()
}

// Save replaces the file at path: it writes and syncs a temporary file in the same directory, renames it, and syncs
// the directory. After an error before or in the rename, the old file remains.
func Save(path string, v Version) (err error) {
	dir := filepath.Dir(path)
	f, err := os.CreateTemp(dir, filepath.Base(path)+".new-*")
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			f.Close()
			os.Remove(f.Name())
		}
	}()
	head := fmt.Sprintf("%s %d %016x %d\n", headerPrefix, v.Number, checksum(v), len(v.Content))
	if _, err = f.Write(append([]byte(head), v.Content...)); err != nil {
		return err
	}
	if err = f.Sync(); err != nil {
		return err
	}
	if err = f.Close(); err != nil {
		return err
	}
	if err = os.Rename(f.Name(), path); err != nil {
		return err
	}
	dirFile, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer dirFile.Close()
	return dirFile.Sync()
}

// ErrNone reports that there is no snapshot file.
var ErrNone = errors.New("there is no snapshot")

// CorruptError reports a file that is not a complete snapshot. The file has been renamed to MovedTo.
type CorruptError struct{ Path, MovedTo, Reason string }

func (s *CorruptError) Error() string {
	return fmt.Sprintf("snapshot %s is corrupt (%s); it was renamed to %s", s.Path, s.Reason, s.MovedTo)
}

// Load reads a snapshot and verifies that it is complete. It renames a corrupt file and returns a *CorruptError, and
// removes the temporary files of interrupted saves.
func Load(path string) (Version, error) {
	if leftovers, err := filepath.Glob(path + ".new-*"); err == nil {
		for _, name := range leftovers {
			os.Remove(name)
		}
	}
	f, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return Version{}, ErrNone
	}
	if err != nil {
		return Version{}, err
	}
	defer f.Close()
	raw, err := io.ReadAll(io.LimitReader(f, maxContentBytes+4096))
	if err != nil {
		return Version{}, err
	}
	v, reason := Decode(raw)
	if reason == "" {
		return v, nil
	}
	movedTo := path + ".spoilt"
	if err := os.Rename(path, movedTo); err != nil {
		return Version{}, fmt.Errorf("snapshot %s is corrupt (%s) and cannot be renamed: %w", path, reason, err)
	}
	return Version{}, &CorruptError{path, movedTo, reason}
}

// Decode decodes the contents of a snapshot file, or returns the reason why they are not a complete snapshot.
func Decode(raw []byte) (v Version, reason string) {
	line, content, ok := bytes.Cut(raw, []byte("\n"))
	if !ok || len(line) > 200 {
		return v, "missing or overlong header line"
	}
	rest, ok := strings.CutPrefix(string(line), headerPrefix+" ")
	if !ok {
		return v, "unknown format"
	}
	fields := strings.Fields(rest)
	if len(fields) != 3 {
		return v, "wrong number of fields in the header line"
	}
	number, err1 := strconv.ParseInt(fields[0], 10, 64)
	digest, err2 := strconv.ParseUint(fields[1], 16, 64)
	size, err3 := strconv.Atoi(fields[2])
	switch {
	case errors.Join(err1, err2, err3) != nil || number < 0:
		return v, "invalid number in the header line"
	case size != len(content):
		return v, fmt.Sprintf("content has %d bytes, header line says %d", len(content), size)
	case checksum(Version{number, content}) != digest:
		return v, "checksum mismatch"
	}
	return Version{number, content}, ""
}
