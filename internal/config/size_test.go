package config

import (
	"fmt"
	"strings"
	"testing"

	"junctionring/configdelta"
)

// sizedBase is the operator's file of the gateway that reads the documents of sizedDocument.
const sizedBase = `listen = "127.0.0.1:0"
redis = {address = "127.0.0.1:1"}
trusted_proxies = ["127.0.0.0/8"]
target = [{id = "t1", address = "127.0.0.1:2"}]
class = [{name = "table-view", aim = "2s", deadline = "7s", worth = 2.0, repeat = "safe"}]
plan = [{name = "club", rate = 50.0, burst = 100.0, worth = 1.0}]
`

// sizedDocument returns a version's document with the given numbers of routes and targets, each written over several
// lines as operators write them.
func sizedDocument(routes, targets int) string {
	var b strings.Builder
	b.WriteString("trusted_proxies = [\"127.0.0.0/8\"]\n")
	b.WriteString("[[class]]\nname = \"table-view\"\naim = \"2s\"\ndeadline = \"7s\"\nworth = 2.0\nrepeat = \"safe\"\n")
	b.WriteString("[[plan]]\nname = \"club\"\nrate = 50.0\nburst = 100.0\nworth = 1.0\n")
	for i := range routes {
		fmt.Fprintf(&b, "[[route]]\npath = \"/service-%03d/resource-%05d/*\"\nmethods = [\"GET\"]\nclass = \"table-view\"\n", i%720, i)
	}
	for i := range targets {
		fmt.Fprintf(&b, "[[target]]\nid = \"table-%05d\"\naddress = \"10.%d.%d.%d:8080\"\n", i, i>>16&255, i>>8&255, i&255)
	}
	return b.String()
}

func readSizedBase(tb testing.TB) *Operator {
	tb.Helper()
	base := defaultOperator()
	if faults := base.read([]byte(sizedBase)); len(faults) > 0 {
		tb.Fatal(faults)
	}
	return base
}

// BenchmarkReadVersion measures decoding, checking and compiling one whole version.
func BenchmarkReadVersion(b *testing.B) {
	base := readSizedBase(b)
	for _, size := range []struct{ routes, targets int }{{100, 60}, {1000, 600}, {5000, 2900}, {23000, 13000}} {
		text := []byte(sizedDocument(size.routes, size.targets))
		b.Run(fmt.Sprintf("routes=%d/targets=%d", size.routes, size.targets), func(b *testing.B) {
			b.ReportAllocs()
			b.ReportMetric(float64(len(text)), "document-bytes")
			for b.Loop() {
				if _, faults := ReadVersion(text, base); len(faults) > 0 {
					b.Fatal(faults[0])
				}
			}
		})
	}
}

// withParts returns a document divided into parts, as a stream of increments delivers it.
func withParts(tb testing.TB, document string) string {
	tb.Helper()
	parts, err := configdelta.Partition(document, configdelta.State{})
	if err != nil {
		tb.Fatal(err)
	}
	state, err := configdelta.NewState(1, 1, parts)
	if err != nil {
		tb.Fatal(err)
	}
	return string(state.Document())
}

// BenchmarkReadChangedVersion measures reading a version that differs in one route from the previous one.
func BenchmarkReadChangedVersion(b *testing.B) {
	base := readSizedBase(b)
	for _, size := range []struct{ routes, targets int }{{100, 60}, {1000, 600}, {5000, 2900}, {23000, 13000}} {
		text := sizedDocument(size.routes, size.targets)
		two := [2][]byte{
			[]byte(withParts(b, text)),
			[]byte(withParts(b, strings.Replace(text, "resource-00050", "resource-changed", 1))),
		}
		b.Run(fmt.Sprintf("routes=%d/targets=%d", size.routes, size.targets), func(b *testing.B) {
			reader := NewVersionReader(base)
			reader.Read(two[0])
			b.ReportAllocs()
			for turn := 1; b.Loop(); turn++ {
				if _, faults := reader.Read(two[turn%2]); len(faults) > 0 {
					b.Fatal(faults[0])
				}
			}
		})
	}
}
