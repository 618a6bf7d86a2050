package config

import (
	"errors"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"junctionring/configdelta"
)

// requireSameResult reads a document by parts and as a whole, and fails the test if the results differ.
func requireSameResult(t interface {
	Helper()
	Fatalf(string, ...any)
}, reader *VersionReader, document string) {
	t.Helper()
	whole, wholeFaults := ReadVersion([]byte(document), reader.base)
	got, faults := reader.Read([]byte(document))
	if errors.Join(faults...) != nil || errors.Join(wholeFaults...) != nil {
		if a, b := errors.Join(faults...), errors.Join(wholeFaults...); a == nil || b == nil || a.Error() != b.Error() {
			t.Fatalf("faults when read by parts: %v\nfaults when read as a whole: %v", a, b)
		}
		return
	}
	if !reflect.DeepEqual(got, whole) {
		t.Fatalf("reading by parts and as a whole gave different results for\n%s", document)
	}
}

func TestPartsReadAsTheWholeDocument(t *testing.T) {
	base := readSizedBase(t)
	good := sizedDocument(60, 40)
	for name, text := range map[string]string{
		"good":                     good,
		"route without class":      strings.Replace(good, "class = \"table-view\"\n[[target]]", "class = \"none\"\n[[target]]", 1),
		"unknown key in a route":   strings.Replace(good, "methods = ", "metods = ", 1),
		"unknown key in the head":  "max_bodies = 3\n" + good,
		"no TOML in a route":       strings.Replace(good, "methods = [\"GET\"]", "methods = [", 1),
		"target named twice":       good + "[[target]]\nid = \"table-00001\"\naddress = \"10.0.0.1:8080\"\n",
		"a part of what is fixed":  "ordinal = 3\n" + good,
		"several faults":           "unknown = 1\n" + strings.Replace(good, "\"GET\"", "\"GOT\"", 2),
		"a string over lines":      "max_body = 5 # \"\"\"\n" + good,
		"routes in two forms":      "route = []\n" + good,
		"a list over lines":        "trusted_proxies = [\n" + good,
		"subtable of a route":      good + "[[route]]\npath = \"/x\"\n[route.more]\na = 1\n",
		"nothing":                  "",
		"routes and nothing else":  "[[route]]\npath = \"/x\"\nclass = \"table-view\"\n",
		"another table at the end": good + "[identity]\naccount_header = \"X-A\"\n",
	} {
		t.Run(name, func(t *testing.T) {
			reader := NewVersionReader(base)
			requireSameResult(t, reader, withParts(t, good))
			requireSameResult(t, reader, withParts(t, text))
			requireSameResult(t, reader, withParts(t, good))
		})
	}
	for name, text := range map[string]string{
		"a part that goes on with the one before": "#increments 1 epoch=1\n#part a\n[[route]]\npath = \"/x\"\n#part b\nmax_body = 5\n",
		"a part that ends within a string": "#increments 1 epoch=1\n#part a\nlisten = \"\"\"\n" +
			"#part b\n[[route]]\npath = \"/x\"\nclass = \"table-view\"\n#part c\n[[plan]]\n\"\"\"\n",
		"without parts": good,
		"parts swapped": "#increments 1 epoch=1\n#part b\n[[route]]\npath = \"/x\"\n#part a\n[[route]]\npath = \"/y\"\n",
	} {
		t.Run(name, func(t *testing.T) { requireSameResult(t, NewVersionReader(base), text) })
	}
}

func TestAnyVersionsReadAsWholeDocuments(t *testing.T) {
	base := readSizedBase(t)
	rapid.Check(t, func(t *rapid.T) {
		reader := NewVersionReader(base)
		for range rapid.IntRange(1, 4).Draw(t, "versions") {
			lines := strings.SplitAfter(sizedDocument(rapid.IntRange(0, 30).Draw(t, "routes"), rapid.IntRange(0, 20).Draw(t, "targets")), "\n")
			for range rapid.IntRange(0, 2).Draw(t, "lines moved") {
				from, to := rapid.IntRange(0, len(lines)-1).Draw(t, "from"), rapid.IntRange(0, len(lines)-1).Draw(t, "to")
				lines[from], lines[to] = lines[to], lines[from]
			}
			parts, err := configdelta.Partition(strings.Join(lines, ""), configdelta.State{})
			if err != nil {
				t.Fatal(err)
			}
			state, err := configdelta.NewState(1, 1, parts)
			if err != nil {
				t.Fatal(err)
			}
			requireSameResult(t, reader, string(state.Document()))
		}
	})
}
