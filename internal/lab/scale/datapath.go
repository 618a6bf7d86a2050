package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"junctionring/internal/lab"
	"junctionring/internal/standin"
)

// KindProxy is a plain httputil.ReverseProxy on one core.
const KindProxy Kind = "proxy"

// proxyActor is that proxy, before the first server of discovery's list.
type proxyActor struct {
	silentActor
	role
}

func (a *proxyActor) start(context.Context, *slog.Logger) (string, error) {
	runtime.GOMAXPROCS(1)
	resp, err := http.Get("http://" + a.Discovery + "/registry/instances")
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	var list struct {
		Instances []standin.Instance `json:"instances"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&list); err != nil {
		return "", err
	}
	if len(list.Instances) == 0 {
		return "", fmt.Errorf("discovery lists no server")
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	to := &url.URL{Scheme: "http", Host: list.Instances[0].HostPort}
	go http.Serve(l, &httputil.ReverseProxy{Rewrite: func(r *httputil.ProxyRequest) { r.SetURL(to) }})
	return l.Addr().String(), nil
}

// PathOptions say what of the data path is measured.
type PathOptions struct {
	Options
	Tenants, Servers int
	Rate             int // requests a second
	Rounds           int // of gateway and proxy, in turn
	For              time.Duration
}

// PathRow is one round of one program at one size. Its fields are the columns of the raw data.
type PathRow struct {
	Program  string  `parquet:"program,dict"` // gateway or proxy
	Round    int     `parquet:"round"`
	Tenants  int     `parquet:"tenants"`
	Servers  int     `parquet:"servers"`
	Rate     int     `parquet:"rate"`
	Asked    int     `parquet:"asked"`
	Served   int     `parquet:"served"`
	CPU      float64 `parquet:"cpu_us"` // a request
	P50      float64 `parquet:"p50_ms"`
	P99      float64 `parquet:"p99_ms"`
	Resident float64 `parquet:"resident"` // bytes
}

const (
	warmWorkers = 8
	warmMost    = time.Minute

	plannedGateways = 1200 // that share the counter, as the gateway is told
)

// Path measures a real gateway beside a plain proxy, in turn, at one size: processor time a request, and latency.
func Path(ctx context.Context, o PathOptions) (rows []PathRow, err error) {
	if o.Tenants < 1 || o.Servers < 1 || o.Rate < 1 || o.Rounds < 1 || o.For <= 0 {
		return nil, fmt.Errorf("tenants %d, servers %d, rate %d, rounds %d and for %v must be above 0", o.Tenants, o.Servers, o.Rate, o.Rounds, o.For)
	}
	ctx, done := context.WithTimeout(ctx, TimeMost)
	defer done()
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return nil, err
	}
	f := &fleet{o: o.Options, s: &Scenario{Parts: []Part{Gateway}}, size: Size{Gateways: plannedGateways, Servers: o.Servers, Zones: 1}}
	defer f.close()
	if err := f.start(ctx); err != nil {
		return nil, err
	}
	proxy, err := f.launch(ctx, KindProxy, "proxy")
	if err != nil {
		return nil, err
	}
	gateway, err := f.realGateway(ctx)
	if err != nil {
		return nil, err
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: 5 * time.Second}
	defer client.CloseIdleConnections()
	warmUp(ctx, client, gateway, o.Tenants)
	for round := range o.Rounds {
		for _, p := range []struct {
			name, address string
			kind          Kind
		}{{"gateway", gateway, KindGateway}, {"proxy", proxy, KindProxy}} {
			row, err := f.round(ctx, client, p.address, f.the(p.kind), o)
			if err != nil {
				return rows, err
			}
			row.Program, row.Round = p.name, round+1
			rows = append(rows, row)
		}
	}
	return rows, nil
}

// the is the process of a kind of which there is one.
func (f *fleet) the(kind Kind) *process {
	return f.all[slices.IndexFunc(f.all, func(p *process) bool { return p.kind == kind })]
}

// warmUp makes one request of each tenant, so that the gateway knows them all.
func warmUp(ctx context.Context, client *http.Client, address string, tenants int) {
	ctx, done := context.WithTimeout(ctx, warmMost)
	defer done()
	var next atomic.Int64
	var all sync.WaitGroup
	for range warmWorkers {
		all.Go(func() {
			for n := next.Add(1); n <= int64(tenants) && ctx.Err() == nil; n = next.Add(1) {
				ask(ctx, client, address, int(n))
			}
		})
	}
	all.Wait()
}

// ask makes one request, and tells whether it was served.
func ask(ctx context.Context, client *http.Client, address string, tenant int) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/"+lab.Classes[0].Name+"/1", nil)
	if err != nil {
		return false
	}
	r.Header.Set("X-Auth-Account", "tenant"+strconv.Itoa(tenant))
	r.Header.Set("X-Auth-Plan", quotaPlan)
	resp, err := client.Do(r)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// round offers the load to one program.
func (f *fleet) round(ctx context.Context, client *http.Client, address string, p *process, o PathOptions) (row PathRow, err error) {
	row = PathRow{Tenants: o.Tenants, Servers: o.Servers, Rate: o.Rate}
	var mu sync.Mutex
	var took []float64
	var all sync.WaitGroup
	before := p.usage()
	tick := time.NewTicker(time.Second / time.Duration(o.Rate))
	defer tick.Stop()
	for end := time.Now().Add(o.For); time.Now().Before(end); {
		select {
		case <-ctx.Done():
			return row, context.Cause(ctx)
		case <-tick.C:
		}
		row.Asked++
		all.Go(func() {
			begun := time.Now()
			served := ask(ctx, client, address, 1+rand.IntN(o.Tenants))
			mu.Lock()
			defer mu.Unlock()
			if served {
				row.Served++
			}
			took = append(took, time.Since(begun).Seconds()*1000)
		})
	}
	all.Wait()
	used := p.usage().less(before)
	row.CPU = float64(used.CPU.Microseconds()) / float64(max(1, row.Asked))
	row.Resident = float64(used.Resident)
	row.P50, row.P99, _ = quantiles(took)
	return row, nil
}

// PathSummary is the medians over the rounds of one size.
type PathSummary struct {
	Tenants, Servers   int
	Gateway, Proxy     float64 // us of processor time a request
	AddedP50, AddedP99 float64 // ms, over the proxy
	GatewayP99, Spread float64 // ms: the gateway's p99, and the range of what it adds over the rounds
	Asked, Served      int     // of the gateway
	Resident           float64 // of the gateway
}

// SummarisePath takes medians over the rounds.
func SummarisePath(rows []PathRow) (s PathSummary) {
	var cpu, proxy, p50, p99, own []float64
	for i := 0; i+1 < len(rows); i += 2 {
		g, p := rows[i], rows[i+1]
		s.Tenants, s.Servers, s.Resident = g.Tenants, g.Servers, max(s.Resident, g.Resident)
		s.Asked, s.Served = s.Asked+g.Asked, s.Served+g.Served
		cpu, proxy, own = append(cpu, g.CPU), append(proxy, p.CPU), append(own, g.P99)
		p50, p99 = append(p50, g.P50-p.P50), append(p99, g.P99-p.P99)
	}
	s.Gateway, s.Proxy, s.AddedP50, s.AddedP99, s.GatewayP99 = median(cpu), median(proxy), median(p50), median(p99), median(own)
	if len(p99) > 0 {
		s.Spread = slices.Max(p99) - slices.Min(p99)
	}
	return s
}

func median(all []float64) float64 {
	if len(all) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(all))
	return (sorted[(len(sorted)-1)/2] + sorted[len(sorted)/2]) / 2
}
