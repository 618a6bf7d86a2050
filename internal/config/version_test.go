package config

import (
	"errors"
	"strings"
	"testing"
)

func loadBase(t testing.TB) *Operator {
	t.Helper()
	o := defaultOperator()
	if err := errors.Join(o.read([]byte(validOperatorFile))...); err != nil {
		t.Fatal(err)
	}
	o.SetPlanKeys()
	return o
}

const versionDocument = `trusted_proxies = ["127.0.0.0/8"]
class = [{name = "move-submit", aim = "1s", deadline = "2s", worth = 6.0, repeat = "keyed", window = "4s", group = "site"}]
plan = [{name = "club", rate = 1.0, burst = 5.0, worth = 1.0}]
discovery = {address = "127.0.0.1:9500"}
`

func TestVersionKeepsWhatIsFixed(t *testing.T) {
	b := loadBase(t)
	b.Targets, b.Discovery.Address = nil, "127.0.0.1:9500"
	o, faults := ReadVersion([]byte(versionDocument), b)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	if o.Listen != b.Listen || o.Redis != b.Redis || len(o.Sites) != 2 || o.Module.Sites != 2 || o.Module.Plans[0].Key != b.Module.Plans[0].Key {
		t.Errorf("%+v", o.Module)
	}
	for text, want := range map[string]string{
		`listen = "127.0.0.1:7"`:        "listen can't change while the gateway serves",
		"gateways = 9":                  "gateways can't change",
		"limits = {memory_mb = 9}":      "limits can't change",
		`site = [{name="a",here=true}]`: "site can't change",
		`nonsense = 1`:                  "unknown key nonsense",
	} {
		if _, faults := ReadVersion([]byte(text+"\n"+versionDocument), b); !strings.Contains(errors.Join(faults...).Error(), want) {
			t.Errorf("%s: %v", text, faults)
		}
	}
	if len(b.Sites) != 2 || b.Sites[0].Name != "east" {
		t.Error("reading a version changed the sites of the base")
	}
}

// An unchanged class or plan keeps its number. A changed one gets another number while the old one is in use, and a
// class inherits the learned times. Numbers that are no longer in use are reused.
func TestSlots(t *testing.T) {
	var s Slots
	never, always := func(int) bool { return false }, func(int) bool { return true }
	b := loadBase(t)
	c, p, _ := s.Assign(b, always, always)
	if len(c) != 1 || c[0] != 0 || p[0] != 0 {
		t.Fatalf("first version: classes %v, plans %v, want number 0 for each", c, p)
	}
	changed := loadBase(t)
	changed.Module.Classes[0].Aim, changed.Module.Plans[0].Rate = 0.5, 2
	c, p, from := s.Assign(changed, always, always)
	if c[0] != 1 || p[0] != 1 || from[1] != 0 || from[0] != 0 {
		t.Errorf("changed version: classes %v, plans %v, learned times from %v", c, p, from)
	}
	if c, p, _ = s.Assign(b, always, always); c[0] != 0 || p[0] != 0 {
		t.Errorf("first version again: classes %v, plans %v, want number 0 for each", c, p)
	}
	third := loadBase(t)
	third.Module.Classes[0].Aim = 0.7
	if c, _, from = s.Assign(third, never, never); c[0] != 0 || len(s.Classes) != 2 || from[0] != 1 && from[0] != 0 {
		t.Errorf("number to be reused: classes %v, learned times from %v", c, from)
	}
}

// Any document is either accepted with valid module settings or rejected with faults, and never changes the base.
func FuzzReadVersion(f *testing.F) {
	f.Add(validOperatorFile)
	f.Add(versionDocument + "route = [{path = \"/a/*\", class = \"move-submit\"}]\n")
	f.Add("plan = [{rate = nan}]")
	b := loadBase(f)
	f.Fuzz(func(t *testing.T, text string) {
		o, faults := ReadVersion([]byte(text), b)
		if len(faults) == 0 {
			if err := o.Module.Check(); err != nil {
				t.Errorf("document accepted with invalid module settings: %v", err)
			}
		}
		if b.Sites[0].Name != "east" || len(b.Module.Plans) != 1 {
			t.Error("reading a version changed the base")
		}
	})
}
