package snapshot

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"
)

func TestSaveAndLoad(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config")
	if _, err := Load(path); !errors.Is(err, ErrNone) {
		t.Errorf("Load without a file: %v", err)
	}
	for n := range int64(3) {
		want := Version{n, bytes.Repeat([]byte{byte(n)}, int(n)*1000)}
		if err := Save(path, want); err != nil {
			t.Fatal(err)
		}
		if got, err := Load(path); err != nil || got.Number != n || !bytes.Equal(got.Content, want.Content) {
			t.Errorf("version %d: %d, %v", n, got.Number, err)
		}
	}
	if files, _ := filepath.Glob(path + "*"); len(files) != 1 {
		t.Errorf("files after saving: %v", files)
	}
}

// A file that is truncated or altered at any byte must not decode to another version. Load reports a truncated file and
// renames it, and the next Load finds no snapshot.
func TestSpoiltIsSetAside(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config")
	if err := Save(path, Version{7, []byte("listen = 1\nplan = 2\n")}); err != nil {
		t.Fatal(err)
	}
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var cases [][]byte
	for i := range whole {
		cases = append(cases, whole[:i])
		changed := bytes.Clone(whole)
		changed[i] ^= 0x01
		cases = append(cases, changed)
	}
	cases = append(cases, append(bytes.Clone(whole), 'x'))
	for i, c := range cases {
		// An altered file may decode only to the same version, for example with a checksum in capital letters.
		if v, reason := Decode(c); reason == "" && (v.Number != 7 || !bytes.Equal(v.Content, []byte("listen = 1\nplan = 2\n"))) {
			t.Fatalf("case %d was decoded: %+v", i, v)
		}
	}
	if err := os.WriteFile(path, whole[:len(whole)-3], 0o600); err != nil {
		t.Fatal(err)
	}
	var corrupt *CorruptError
	if _, err := Load(path); !errors.As(err, &corrupt) || !strings.Contains(err.Error(), path) {
		t.Errorf("%v", err)
	}
	if _, err := os.Stat(corrupt.MovedTo); err != nil {
		t.Error(err)
	}
	if _, err := Load(path); !errors.Is(err, ErrNone) {
		t.Errorf("Load after the corrupt file was renamed: %v", err)
	}
}

func TestFolderThatCantBeWritten(t *testing.T) {
	if err := Save(filepath.Join(t.TempDir(), "none", "config"), Version{1, nil}); err == nil {
		t.Error("Save to a missing directory succeeded")
	}
}

// A process that is killed at any moment while it saves must leave the last version that it reported as saved, or a
// newer one. TestChild is that process.
func TestKilledWhileSaving(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config")
	rounds := 20
	if n, err := strconv.Atoi(os.Getenv("SNAPSHOT_ROUNDS")); err == nil { // 200 for a measurement
		rounds = n
	}
	for round := range rounds {
		cmd := exec.Command(os.Args[0], "-test.run", "^TestChild$")
		cmd.Env = append(os.Environ(), "SNAPSHOT_CHILD="+path)
		out, err := cmd.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		output := make(chan string, 1)
		go func() {
			b := new(bytes.Buffer)
			b.ReadFrom(out)
			output <- b.String()
		}()
		time.Sleep(time.Duration(20+7*(round%40)) * time.Millisecond) // kills at a different moment in each round
		cmd.Process.Kill()
		text := <-output
		cmd.Wait()
		saved := int64(0)
		for line := range strings.Lines(text) {
			var n int64
			if _, err := fmt.Sscanf(line, "saved %d\n", &n); err == nil && strings.HasSuffix(line, "\n") {
				saved = n
			}
		}
		v, err := Load(path)
		if errors.Is(err, ErrNone) && saved == 0 {
			continue
		}
		if err != nil || v.Number < saved {
			t.Fatalf("round %d: loaded version %d, %v; version %d was reported as saved", round, v.Number, err, saved)
		}
	}
}

func TestChild(t *testing.T) {
	path := os.Getenv("SNAPSHOT_CHILD")
	if path == "" {
		t.Skip("run by TestKilledWhileSaving")
	}
	start := int64(0)
	if v, err := Load(path); err == nil {
		start = v.Number
	}
	for n := start + 1; n < start+100_000; n++ {
		if err := Save(path, Version{n, bytes.Repeat([]byte("plan"), 20_000)}); err != nil {
			t.Fatal(err)
		}
		fmt.Printf("saved %d\n", n)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte("junctionring-snapshot 1 3 0000000000000000 1\nx"))
	f.Add([]byte("junctionring-snapshot 1 3 ef46db3751d8e999 0\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		v, reason := Decode(raw)
		if reason == "" && !bytes.HasSuffix(raw, v.Content) {
			t.Error("the decoded content is not the end of the input")
		}
	})
}
