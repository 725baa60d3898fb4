package bench

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/savorypass/savorypass/internal/secure"
)

const (
	clusterFile = "cluster.json" // description of the cluster, a Cluster as JSON
	procsFile   = "procs"        // processes to start; scripts/bench.sh reads it
	pidsFile    = "pids"         // process ids; scripts/bench.sh writes it
	configFile  = "config.yaml"  // first configuration to publish
	host        = "127.0.0.1"

	// Ports of a cluster as offsets from its first port.
	portLog       = 0
	portInstances = 1
	portEntries   = 10 // three ports per entry instance

	maxWorkersPerProcess = 300 // a process with all 1,200 workers of the target would exceed the limit of open files
	workersPerRack       = 8

	// admissionSection is the section that the questionnaire of savory-setup generates for a deployment whose top priority
	// is the crest, that is, service at the peak.
	admissionSection = "max_wait: 10s, max_drain: 700ms"
)

// quickServices and longService are the services of the generated jobs. plainService is the service of all other jobs.
var quickServices = []string{"quick80", "quick150", "quick300", "quick500"}

const (
	longService  = "survey"
	plainService = "plain"
)

// Entry is one entry instance with its addresses (host:port) for callers, for its peers and for operators.
type Entry struct {
	Zone      string `json:"zone"`
	Name      string `json:"name"`
	Callers   string `json:"callers"`
	Peers     string `json:"peers"`
	Operators string `json:"operators"`
}

// Team holds the tokens of one team's callers.
type Team struct {
	Name   string   `json:"name"`
	Tokens []string `json:"tokens"`
}

// Cluster describes the processes of one cluster, for the commands that measure it.
type Cluster struct {
	Name      string  `json:"name"`
	Scheduler string  `json:"scheduler"`
	Log       string  `json:"log"`
	Instances string  `json:"instances"`
	Entries   []Entry `json:"entries"`
	Slots     int     `json:"slots"` // total of all workers
	Teams     []Team  `json:"teams"`
	Operator  string  `json:"operator"` // token of the operator

	Workers []string `json:"-"` // addresses; read from the instance list, because workers listen on any free port

	dir string
}

// Plan holds the options of the command prepare.
type Plan struct {
	Dir        string   `long:"dir" required:"true" description:"directory for the files of the cluster"`
	Bin        string   `long:"bin" default:"bin" description:"directory with the programs"`
	Name       string   `long:"name" default:"fair" description:"name of the cluster in tables"`
	Scheduler  string   `long:"scheduler" default:"fair" description:"fair or naive"`
	Port       int      `long:"port" default:"27000" description:"first port"`
	Zones      []string `long:"zone" description:"availability zones; the default is zone-a, zone-b and zone-c"`
	Entries    int      `long:"entries" default:"6" description:"entry instances, assigned to the zones in turn"`
	Workers    int      `long:"workers" default:"50" description:"workers, assigned to the zones in turn"`
	Slots      int      `long:"slots" default:"8" description:"slots per worker"`
	Teams      int      `long:"teams" default:"8" description:"teams"`
	Callers    int      `long:"callers" default:"2" description:"callers of each team"`
	KeepStarts int      `long:"keep-starts" default:"20000" description:"start records that each worker keeps"`
}

type process struct {
	name string
	args []string
}

// Prepare writes the files of a cluster: its description, certificates, tokens, the configuration document, and the list of
// processes to start, with a name, a tab and the command on each line.
func Prepare(p Plan) error {
	if len(p.Zones) == 0 {
		p.Zones = []string{"zone-a", "zone-b", "zone-c"}
	}
	if err := os.MkdirAll(p.Dir, 0o755); err != nil {
		return err
	}
	c := p.cluster()
	for _, step := range []func(*Cluster) error{p.writeTLS, p.writeTokens, p.writeConfig, p.writeProcs, p.writeCluster} {
		if err := step(c); err != nil {
			return err
		}
	}
	return nil
}

func (p *Plan) address(offset int) string { return host + ":" + strconv.Itoa(p.Port+offset) }

func (p *Plan) zone(i int) string { return p.Zones[i%len(p.Zones)] }

func (p *Plan) path(name string) string { return filepath.Join(p.Dir, name) }

func (p *Plan) cluster() *Cluster {
	c := &Cluster{
		Name: p.Name, Scheduler: p.Scheduler, Log: p.address(portLog), Instances: p.address(portInstances),
		Slots: p.Workers * p.Slots, Operator: secure.NewToken().Reveal(),
	}
	for i := range p.Entries {
		c.Entries = append(c.Entries, Entry{
			Zone: p.zone(i), Name: fmt.Sprintf("entry-%d", i),
			Callers:   p.address(portEntries + 3*i),
			Peers:     p.address(portEntries + 3*i + 1),
			Operators: p.address(portEntries + 3*i + 2),
		})
	}
	for t := range p.Teams {
		team := Team{Name: fmt.Sprintf("team-%d", t)}
		for range p.Callers {
			team.Tokens = append(team.Tokens, secure.NewToken().Reveal())
		}
		c.Teams = append(c.Teams, team)
	}
	return c
}

func (p *Plan) writeTLS(c *Cluster) error {
	ca, err := secure.NewDevCA(time.Now())
	if err != nil {
		return err
	}
	for _, e := range c.Entries {
		s, err := ca.Issue(secure.Name{Zone: e.Zone, Instance: e.Name})
		if err != nil {
			return err
		}
		for suffix, text := range map[string]string{".crt": s.Certificate, ".key": s.Key} {
			if err := os.WriteFile(p.path(e.Name+suffix), []byte(text), 0o600); err != nil {
				return err
			}
		}
	}
	return os.WriteFile(p.path("ca.crt"), []byte(ca.CertificatePEM()), 0o600)
}

func (p *Plan) writeTokens(c *Cluster) error {
	line := fmt.Sprintf("operator bench %s\n", secure.DigestOf([]byte(c.Operator)))
	return os.WriteFile(p.path("staff"), []byte(line), 0o600)
}

func (p *Plan) writeConfig(c *Cluster) error {
	return os.WriteFile(p.path(configFile), configDocument(c, 0), 0o600)
}

// configDocument returns a configuration. Different revisions differ only in the limit queued_tasks, which does not affect
// the measurements.
func configDocument(c *Cluster, revision int) []byte {
	var b strings.Builder
	b.WriteString("schema: 1\nservices:\n")
	for _, s := range append([]string{longService, plainService}, quickServices...) {
		fmt.Fprintf(&b, "  - {name: %s, idempotent: true, max_run_time: 5m, default_deadline: 1m}\n", s)
	}
	b.WriteString("teams:\n")
	for _, t := range c.Teams {
		fmt.Fprintf(&b, "  - name: %s\n    callers:\n", t.Name)
		for i, token := range t.Tokens {
			fmt.Fprintf(&b, "      - {name: caller-%d, token_digest: %s}\n", i, secure.DigestOf([]byte(token)))
		}
	}
	fmt.Fprintf(&b, "limits: {connections_per_caller: 100000, requests_per_second_per_caller: 1000000, queued_tasks: %d}\n", 200_000+revision)
	fmt.Fprintf(&b, "admission: {%s}\n", admissionSection)
	return []byte(b.String())
}

func (p *Plan) writeProcs(c *Cluster) error {
	var b strings.Builder
	for _, x := range p.processes(c) {
		fmt.Fprintf(&b, "%s\t%s\n", x.name, strings.Join(x.args, " "))
	}
	return os.WriteFile(p.path(procsFile), []byte(b.String()), 0o644)
}

func (p *Plan) processes(c *Cluster) []process {
	bin := func(name string) string { return filepath.Join(p.Bin, name) }
	list := []string{bin("savory-instances"), "--listen", c.Instances}
	for _, e := range c.Entries {
		list = append(list, "--entry", fmt.Sprintf("%s/%s,%s,%s,%s", e.Zone, e.Name, e.Peers, e.Operators, e.Callers))
	}
	out := []process{
		{"log", []string{bin("savory-log"), "--listen", c.Log}},
		{"instances", list},
	}
	out = append(out, p.workerProcesses(c, bin("savory-worker"))...)
	for _, e := range c.Entries {
		out = append(out, process{e.Name, []string{
			bin("savoryd"), "--name", e.Name, "--zone", e.Zone, "--callers", e.Callers, "--peers", e.Peers,
			"--operators", e.Operators, "--log-url", "http://" + c.Log, "--instances-url", "http://" + c.Instances,
			"--tls-cert", p.path(e.Name + ".crt"), "--tls-key", p.path(e.Name + ".key"), "--tls-ca", p.path("ca.crt"),
			"--staff-tokens", p.path("staff"), "--scheduler", p.Scheduler, "--event-loops", "2", "--log-level", "warning",
			"--drain-timeout", "1s",
		}})
	}
	return out
}

// workerProcesses returns the worker processes. All workers of a process belong to one zone, and so do its racks.
func (p *Plan) workerProcesses(c *Cluster, program string) []process {
	var out []process
	for z, zone := range p.Zones {
		remaining := p.Workers / len(p.Zones)
		if z < p.Workers%len(p.Zones) {
			remaining++
		}
		for remaining > 0 {
			n := min(remaining, maxWorkersPerProcess)
			name := fmt.Sprintf("worker-%s-%d", zone, len(out))
			out = append(out, process{name, []string{
				program, "--listen", host + ":0", "--count", strconv.Itoa(n), "--name", name, "--zone", zone,
				"--rack-size", strconv.Itoa(workersPerRack), "--slots", strconv.Itoa(p.Slots), "--instances", c.Instances,
				"--retention", "1s", "--keep-starts", strconv.Itoa(p.KeepStarts), "--drain", "0s",
			}})
			remaining -= n
		}
	}
	return out
}

func (p *Plan) writeCluster(c *Cluster) error {
	text, err := json.MarshalIndent(c, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(p.path(clusterFile), text, 0o600)
}

// Open reads the description of a prepared cluster from its directory.
func Open(dir string) (*Cluster, error) {
	text, err := os.ReadFile(filepath.Join(dir, clusterFile))
	if err != nil {
		return nil, err
	}
	c := &Cluster{dir: dir}
	return c, json.Unmarshal(text, c)
}

// PIDs returns the process ids by name. scripts/bench.sh writes them, with a name and an id on each line.
func (c *Cluster) PIDs() (map[string]int, error) {
	text, err := os.ReadFile(filepath.Join(c.dir, pidsFile))
	if err != nil {
		return nil, err
	}
	pids := map[string]int{}
	for line := range strings.Lines(string(text)) {
		var name string
		var pid int
		if _, err := fmt.Sscan(line, &name, &pid); err != nil {
			return nil, fmt.Errorf("%s: line %q, expected a name and a process id: %w", pidsFile, line, err)
		}
		pids[name] = pid
	}
	return pids, nil
}
