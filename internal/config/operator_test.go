package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const validOperatorFile = `listen = "127.0.0.1:0"
trusted_proxies = ["127.0.0.0/8"]
redis = {address = "127.0.0.1:6379"}
class = [{name = "move-submit", aim = "1s", deadline = "2s", worth = 6.0, repeat = "keyed", window = "4s", group = "site"}]
plan = [{name = "club", rate = 1.0, burst = 5.0, worth = 1.0}]
site = [{name = "east", here = true, zones = ["hall-a", "hall-b"]}, {name = "west", distance = "40ms"}]
target = [{id = "t1", address = "127.0.0.1:9101", site = "east"}, {id = "t2", address = "127.0.0.1:9102", site = "west"}]
`

func load(t *testing.T, text string) (*Operator, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "operator.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return LoadOperator(path)
}

func TestSitesAreRead(t *testing.T) {
	o, err := load(t, validOperatorFile)
	if err != nil {
		t.Fatal(err)
	}
	if o.SitesModule.Own != 0 || o.Module.Sites != 2 || o.SitesModule.Sites[1].Distance != (40*time.Millisecond).Seconds() {
		t.Errorf("%+v", o.SitesModule)
	}
	if z := o.ZoneSites(); z["hall-b"] != 0 || z["west"] != 1 || len(z) != 3 {
		t.Errorf("sites by zone: %v", z)
	}
	if o.SiteOf("west") != 1 || o.Sites[0].WarmConnections() != 0 || o.Sites[1].WarmConnections() != remoteWarmConnections {
		t.Error("wrong number of a target's site, or of warm connections")
	}
}

// Guards against a keyed class whose group nothing tells apart: all targets would count as one group, silently.
func TestGroupThatNothingTellsApartIsNamed(t *testing.T) {
	const file = `listen = "127.0.0.1:0"
trusted_proxies = ["127.0.0.0/8"]
redis = {address = "127.0.0.1:6379"}
class = [{name = "move-submit", aim = "1s", deadline = "2s", worth = 6.0, repeat = "keyed", window = "4s", group = "GROUP"}]
plan = [{name = "club", rate = 1.0, burst = 5.0, worth = 1.0}]
`
	for _, c := range []struct{ name, group, rest, want string }{
		{"zone, no zone", "zone", `target = [{id = "t1", address = "127.0.0.1:9101"}]`, `class move-submit: group = "zone", but target "t1" has no zone`},
		{"zone", "zone", `target = [{id = "t1", address = "127.0.0.1:9101", zone = 0}]`, ""},
		{"cell, no cell", "cell", `target = [{id = "t1", address = "127.0.0.1:9101", zone = 0}]`, `class move-submit: group = "cell", but target "t1" has no cell`},
		{"cell, no zone", "cell", `target = [{id = "t1", address = "127.0.0.1:9101", cell = 0}]`, `class move-submit: group = "cell", but target "t1" has no zone`},
		{"cell", "cell", `target = [{id = "t1", address = "127.0.0.1:9101", zone = 1, cell = 0}]`, ""},
		{"site, no site", "site", `target = [{id = "t1", address = "127.0.0.1:9101"}]`, `class move-submit: group = "site", but there is no [[site]]`},
		{"site with discovery, no site", "site", `discovery = {address = "127.0.0.1:1"}`, `class move-submit: group = "site", but there is no [[site]]`},
		{"zone with discovery", "zone", `discovery = {address = "127.0.0.1:1"}`, ""},
		{"cell with discovery, targets named", "cell", "discovery = {address = \"127.0.0.1:1\"}\ntarget = [{id = \"t1\"}]", ""},
		{"all", "all", `target = [{id = "t1", address = "127.0.0.1:9101"}]`, ""},
	} {
		_, err := load(t, strings.Replace(file, "GROUP", c.group, 1)+c.rest)
		if c.want == "" && err != nil || c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)) {
			t.Errorf("%s: %v, want %q", c.name, err, c.want)
		}
	}
}

// Guards against a version that names no site, as it keeps those of the start, and is turned down for its group.
func TestVersionKeepsTheSitesOfItsGroup(t *testing.T) {
	base, err := load(t, validOperatorFile)
	if err != nil {
		t.Fatal(err)
	}
	text, _, _ := strings.Cut(validOperatorFile, "site = [")
	_, faults := ReadVersion([]byte(text+"asked = {path = \"/verify\"}\n"), base)
	if len(faults) > 0 {
		t.Error(faults)
	}
}

func TestFaultsInSitesAreNamed(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`site = "west"}`, `site = "north"}`, `target "t2": there is no site "north"`},
		{`, site = "west"}`, `}`, `target "t2" has no site`},
		{`name = "west"`, `name = "east"`, `site "east" is named twice`},
		{`"40ms"`, `"-40ms"`, `site "west": distance -40ms must be above 0`},
		{`"40ms"`, `"forty"`, `forty`},
		{`"40ms"`, `nan`, `distance`},
		{`distance = "40ms"`, `here = true`, `site "west": the gateway is at another site already`},
		{`here = true, `, `distance = "1ms", `, `no site says here = true`},
		{`here = true, `, `here = true, distance = "1ms", `, `site "east": the gateway stands here`},
		{`distance = "40ms"`, `distance = "40ms", zones = ["hall-b"]`, `zone "hall-b" belongs to site "east" already`},
		{`distance = "40ms"`, `distance = "40ms", warm = -1`, `warm must be from 0 to 16`},
		{`group = "site"`, `group = "planet"`, `group must be all, site or zone`},
		{`target = [`, "discovery = {address = \"127.0.0.1:1\"}\ntarget = [", `target t1: with discovery it has neither address nor site`},
		{`target = [`, "discovery = {address = \"nowhere\"}\ntarget = [", `discovery: address: "nowhere" is no host:port`},
	} {
		_, err := load(t, strings.Replace(validOperatorFile, c.old, c.new, 1))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %q", c.new, err, c.want)
		}
	}
}
