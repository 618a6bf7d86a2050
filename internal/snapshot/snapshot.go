// Package snapshot keeps the last good configuration version on disk: one file, replaced as a whole. It owns the
// file's form and the order of writes that makes a death at any moment leave the old one or the new one. It never
// judges the content.
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
	headerPrefix    = "junctionring-snapshot 1" // the first word of the first line, and the format's number
	maxContentBytes = 64 << 20                  // bytes of a content
)

// Version is what is kept.
type Version struct {
	Number  int64
	Content []byte
}

// Digest is the checksum of a content: what tells two contents of one number apart.
func Digest(content []byte) uint64 { return xxhash.Sum64(content) }

// checksum covers the number, too: a content under another number is another version.
func checksum(v Version) uint64 {
	d := xxhash.New()
	fmt.Fprintln(d, v.Number)
	d.Write(v.Content)
	return d.Sum64()
}

// Save replaces the file at path: a temporary file beside it, fsync, rename, fsync of the folder. After an error
// the old file stands.
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

// ErrNone says that there is no snapshot.
var ErrNone = errors.New("there is no snapshot")

// CorruptError is a file that is no whole snapshot. It was set aside.
type CorruptError struct{ Path, MovedTo, Reason string }

func (s *CorruptError) Error() string {
	return fmt.Sprintf("%s is no whole snapshot (%s); it was set aside as %s", s.Path, s.Reason, s.MovedTo)
}

// Load reads the file whole or not at all: one that is spoilt is set aside and named. What a death left of a save
// that was under way is removed.
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
		return Version{}, fmt.Errorf("%s is no whole snapshot (%s), and can't be set aside: %w", path, reason, err)
	}
	return Version{}, &CorruptError{path, movedTo, reason}
}

// Decode reads a snapshot's bytes, or says why they are none.
func Decode(raw []byte) (v Version, reason string) {
	line, content, ok := bytes.Cut(raw, []byte("\n"))
	if !ok || len(line) > 200 {
		return v, "it has no first line"
	}
	rest, ok := strings.CutPrefix(string(line), headerPrefix+" ")
	if !ok {
		return v, "it is of another format"
	}
	fields := strings.Fields(rest)
	if len(fields) != 3 {
		return v, "its first line is cut"
	}
	number, err1 := strconv.ParseInt(fields[0], 10, 64)
	digest, err2 := strconv.ParseUint(fields[1], 16, 64)
	size, err3 := strconv.Atoi(fields[2])
	switch {
	case errors.Join(err1, err2, err3) != nil || number < 0:
		return v, "its first line holds no numbers"
	case size != len(content):
		return v, fmt.Sprintf("%d bytes where %d are due", len(content), size)
	case checksum(Version{number, content}) != digest:
		return v, "its checksum does not fit"
	}
	return Version{number, content}, ""
}
