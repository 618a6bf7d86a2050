package scale

import (
	"context"
	"errors"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

func TestMain(m *testing.M) {
	if Role() { // a process that a test of this package started
		return
	}
	os.Exit(m.Run())
}

// small is a fleet of a few gateways with every part that a hollow gateway has.
const small = `name = "small"
parts = ["discovery", "configuration", "agents", "counter"]
vary = "gateways"
sizes = [2, 5]
held_out = [9]
processes = 2
settle = "0s"
window = "1s"
[base]
servers = 300
routes = 50
tenants = 20
calls = 20
`

// A scenario that makes no sense does not start, and says what is wrong and where.
func TestSenselessScenariosAreRefused(t *testing.T) {
	for name, change := range map[string]struct{ old, new, want string }{
		"an unknown key":           {"sizes =", "size =", "unknown key size"},
		"an unknown key of base":   {"servers = 300", "server = 300", "unknown key base.server"},
		"no gateways":              {"[2, 5]", "[0, 5]", "gateways: 0 is not from 1"},
		"too many gateways":        {"[2, 5]", "[2, 6000]", "gateways: 6000 is not from 1 to 2400"},
		"more memory than allowed": {"[2, 5]\nheld_out = [9]", "[2, 2400]\nheld_out = []", ""}, // see below
		"no sizes":                 {"[2, 5]", "[]", "sizes: none is given"},
		"a size twice":             {"held_out = [9]", "held_out = [5]", "5 is listed twice"},
		"an unknown factor":        {`"gateways"`, `"planets"`, `there is no factor "planets"`},
		"an unknown part":          {`"counter"]`, `"oracle"]`, `there is no "oracle"`},
		"no window":                {`window = "1s"`, `window = "0s"`, "window must be above 0"},
		"a window without end":     {`window = "1s"`, `window = "24h"`, "settle and window"},
		"too many processes":       {"processes = 2", "processes = 500", "processes: 500 is not from 1"},
		"a size that is no number": {"servers = 300", `servers = "many"`, "servers"},
	} {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(small, change.old, change.new, 1)
			if text == small {
				t.Fatal("the test changes nothing")
			}
			want := change.want
			if want == "" {
				text = strings.Replace(text, "servers = 300", "servers = 13000", 1)
				want = "gateways = 2400: about"
			}
			_, err := Parse([]byte(text))
			if err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("%v, want %q", err, want)
			}
		})
	}
}

func TestScenariosOfTheProgramMakeSense(t *testing.T) {
	for _, name := range Names() {
		s, err := Load(name)
		if err != nil {
			t.Error(err)
			continue
		}
		if len(s.Sizes) < 4 || len(s.HeldOut) < 1 || s.Name != name {
			t.Errorf("%s: %q with %d sizes and %d held out, want its own name, four and one", name, s.Name, len(s.Sizes), len(s.HeldOut))
		}
	}
	if _, err := Load("no-such-scenario"); err == nil || !strings.Contains(err.Error(), "discovery-gateways") {
		t.Errorf("%v, want the scenarios that there are", err)
	}
}

func TestLineAndInterval(t *testing.T) {
	l := FitLine([]float64{1, 2, 3, 4}, []float64{5, 7, 9, 11})
	if math.Abs(l.Base-3) > 1e-9 || math.Abs(l.Slope-2) > 1e-9 || l.SlopeHalf > 1e-6 || l.R2 < 1-1e-9 {
		t.Errorf("an exact line: %+v", l)
	}
	// By hand: residuals 0, 0.1, -0.2 and 0.1, squares 0.06 together, and t(0.975, 2) = 4.30265.
	l = FitLine([]float64{0, 1, 2, 3}, []float64{0, 2, 3.6, 5.8})
	if want := 4.30265 * math.Sqrt(0.06/2) / math.Sqrt(5); math.Abs(l.Slope-1.9) > 1e-9 || math.Abs(l.SlopeHalf-want) > 1e-4 {
		t.Errorf("slope %g ±%g, want 1.9 ±%g", l.Slope, l.SlopeHalf, want)
	}
	if l = FitLine([]float64{1, 2}, []float64{1, 2}); !math.IsInf(l.SlopeHalf, 1) {
		t.Errorf("two points leave an interval of %g", l.SlopeHalf)
	}
}

func rowsOf(build string, spent func(value int) float64, heldOut int, values ...int) (rows []Row) {
	for _, v := range append(values, heldOut) {
		rows = append(rows, Row{Scenario: "s", Build: build, Vary: "gateways", Value: v, HeldOut: v == heldOut, Role: KindDiscovery, Phase: Steady,
			Seconds: 10, CPU: 10 * spent(v)})
	}
	return rows
}

// A line is checked where it was not fitted, and what grows with the square is told from what is linear.
func TestFitIsChecked(t *testing.T) {
	fits := FitAll(rowsOf("here", func(v int) float64 { return 1 + 2*float64(v) }, 100, 40, 10, 20, 30))
	if len(fits) != 1 || fits[0].Figure != "cpu_s" || !slices.Equal(fits[0].Values, []int{10, 20, 30, 40}) || len(fits[0].Checks) != 1 {
		t.Fatalf("%+v", fits)
	}
	if c := fits[0].Checks[0]; !c.Holds() || math.Abs(c.Measured-201) > 1e-9 || math.Abs(c.Off()) > 1e-9 {
		t.Errorf("a line: %+v", c)
	}
	if c := FitAll(rowsOf("here", func(v int) float64 { return float64(v * v) }, 100, 10, 20, 30, 40))[0].Checks[0]; c.Holds() {
		t.Errorf("a square holds as a line: %+v", c)
	}
}

func TestBuildsAreCompared(t *testing.T) {
	double := rowsOf("before", func(v int) float64 { return 2 * float64(v) }, 3, 1, 2)
	once := rowsOf("after", func(v int) float64 { return float64(v) }, 2, 1) // size 3 is missing
	all := Compare(append(double, once...), "before", "after")
	if len(all) != 2 || all[0].Before != 2 || all[0].After != 1 || all[1].Value != 2 {
		t.Errorf("%+v", all)
	}
}

// A series that was interrupted goes on with the sizes that are missing, and half a file is none.
func TestSeriesIsResumed(t *testing.T) {
	dir := t.TempDir()
	s, err := Parse([]byte(small))
	if err != nil {
		t.Fatal(err)
	}
	cut := errors.New("interrupted")
	ran, most := []int(nil), 1
	run := func(o Options, value int) ([]Row, error) {
		if len(ran) == most {
			return nil, cut
		}
		ran = append(ran, value)
		return rowsOf(o.Build, func(int) float64 { return 1 }, value), nil
	}
	series := func() ([]Row, error) {
		s.Name = "s"
		return Series(func(int) Options { return Options{Build: "here"} }, dir, s, run, func(int, bool) {})
	}
	if _, err := series(); !errors.Is(err, cut) || !strings.Contains(err.Error(), "gateways = 5") {
		t.Fatalf("interrupted: %v", err)
	}
	if err := os.WriteFile(filepath.Join(dir, "s-here-5.parquet.part"), []byte("half"), 0o644); err != nil {
		t.Fatal(err)
	}
	most = 10
	rows, err := series()
	if err != nil || len(rows) != 3 || !slices.Equal(ran, []int{2, 5, 9}) {
		t.Errorf("%v, %d rows, ran %v", err, len(rows), ran)
	}
	if rows, err = series(); err != nil || len(rows) != 3 || len(ran) != 3 {
		t.Errorf("once more: %v, %d rows, ran %v", err, len(rows), ran)
	}
}

// A fleet of a few hollow gateways, with real coordinators and all stand-ins in processes of their own: everybody comes
// to know everything, each role's rows are there, and what the list costs is as the line of the smaller sizes says.
func TestSmallFleet(t *testing.T) {
	s, err := Parse([]byte(small))
	if err != nil {
		t.Fatal(err)
	}
	ctx, done := context.WithTimeout(t.Context(), 2*time.Minute)
	defer done()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	rows, err := Series(func(int) Options { return Options{Program: []string{self}, Dir: t.TempDir(), Build: "here"} }, dir, s,
		func(o Options, value int) ([]Row, error) { return Run(ctx, o, s, value) }, func(int, bool) {})
	if err != nil {
		t.Fatal(err)
	}
	for _, kind := range []Kind{KindDiscovery, KindConfiguration, KindCounter, KindCoordinator, KindGateways, Leader} {
		n := 0
		for _, r := range rows {
			if r.Role == kind {
				n++
				if r.Phase == Start && r.CPU <= 0 || r.Resident <= 0 || r.Seconds <= 0 || r.Disorder != 0 {
					t.Errorf("%s, %s, %d gateways: %+v", kind, r.Phase, r.Value, r)
				}
			}
		}
		if n != 2*len(s.All()) {
			t.Errorf("%s has %d rows, want two phases of %d sizes", kind, n, len(s.All()))
		}
	}
	for _, f := range FitAll(rows) {
		if f.Role == KindDiscovery && f.Phase == Start && f.Figure == "bytes" && !f.Checks[0].Holds() {
			t.Errorf("a list for each gateway: %+v", f)
		}
	}
}

// A run that holds more memory than is allowed is ended with that reason.
func TestMemoryIsBounded(t *testing.T) {
	s, err := Parse([]byte(strings.Replace(small, `window = "1s"`, `window = "5m"`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	_, err = Run(t.Context(), Options{Program: []string{self}, Dir: t.TempDir(), Memory: 1 << 20}, s, 2)
	if !errors.Is(err, ErrMemory) {
		t.Errorf("%v, want %v", err, ErrMemory)
	}
}

// After each of several faults in turn every gateway comes back to everything, and has the newest version, in order.
func TestSmallFleetRecovers(t *testing.T) {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	s, err := Parse([]byte(small))
	if err != nil {
		t.Fatal(err)
	}
	ctx, done := context.WithTimeout(t.Context(), 3*time.Minute)
	defer done()
	const gateways = 6
	f := &fleet{o: Options{Program: []string{self}, Dir: t.TempDir()}, s: s, size: s.Size(gateways)}
	defer f.close()
	if err := f.start(ctx); err != nil {
		t.Fatal(err)
	}
	if _, err := f.measure(ctx, gateways); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"push", "restart-all", "zone", "leader"} {
		rows, err := f.recover(ctx, gateways, Faults[name])
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		at := slices.IndexFunc(rows, func(r Row) bool { return r.Role == KindGateways && r.Phase == Recovery })
		if at < 0 || rows[at].Disorder != 0 {
			t.Errorf("%s: %+v", name, rows)
		}
	}
}

func TestUnknownFaultIsRefused(t *testing.T) {
	if _, err := RunFault(t.Context(), Options{}, nil, 1, "flood"); err == nil || !strings.Contains(err.Error(), `no fault "flood"`) {
		t.Errorf("an unknown fault: %v", err)
	}
}

// A size at which nothing would be measured is refused before anything starts.
func TestPathRefusesNothing(t *testing.T) {
	for name, o := range map[string]PathOptions{
		"no tenants": {Servers: 1, Rate: 1, Rounds: 1, For: 1}, "no servers": {Tenants: 1, Rate: 1, Rounds: 1, For: 1},
		"no rate": {Tenants: 1, Servers: 1, Rounds: 1, For: 1}, "no time": {Tenants: 1, Servers: 1, Rate: 1, Rounds: 1},
	} {
		if _, err := Path(t.Context(), o); err == nil || !strings.Contains(err.Error(), "must be above 0") {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestPathIsSummarised(t *testing.T) {
	s := SummarisePath([]PathRow{
		{Program: "gateway", CPU: 100, P99: 5, Asked: 10, Served: 10, Tenants: 3, Servers: 4}, {Program: "proxy", CPU: 50, P99: 2},
		{Program: "gateway", CPU: 300, P99: 9, Asked: 10, Served: 9, Tenants: 3, Servers: 4}, {Program: "proxy", CPU: 60, P99: 3},
		{Program: "gateway", CPU: 120, P99: 6, Asked: 10, Served: 10, Tenants: 3, Servers: 4}, {Program: "proxy", CPU: 55, P99: 2},
	})
	if s.Gateway != 120 || s.Proxy != 55 || s.AddedP99 != 4 || s.Spread != 3 || s.Asked != 30 || s.Served != 29 || s.Tenants != 3 || s.Servers != 4 {
		t.Errorf("%+v", s)
	}
}
