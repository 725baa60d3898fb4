package ctl

import (
	"cmp"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/savorypass/savorypass/internal/ops/opsapi"
)

// instanceView is what is known about one entry instance: its own status, or how the other instances see it.
type instanceView struct {
	opsapi.Member
	Status  *opsapi.Status `json:"status,omitempty"`
	Problem string         `json:"problem,omitempty"` // why there is no status or no answer
}

// configVersion returns the version in force: the one in the instance's own status, or else the newest that it has
// reported to a peer.
func (v *instanceView) configVersion() int64 {
	if v.Status != nil {
		return v.Status.ConfigVersion
	}
	return v.ConfigVersion
}

// missingStatusReason returns why there is no status.
func (v *instanceView) missingStatusReason() string {
	if v.Problem == "" {
		return "its peers see it as " + string(v.State)
	}
	return v.Problem
}

// instances finds all entry instances through the member lists of the given endpoints, and asks each for its status. It
// also updates goneAddresses.
func (a *app) instances() ([]instanceView, error) {
	if err := a.requireEndpoints(); err != nil {
		return nil, err
	}
	disc := discovery{app: a, byName: map[string]*instanceView{}, failures: map[string]string{}}
	problems := disc.query(a.presentEndpoints())
	if len(disc.byName) == 0 {
		a.goneAddresses = nil
		return nil, noInstanceAnswered(problems)
	}
	disc.query(disc.unqueried())
	views := disc.sortedViews()
	a.goneAddresses = map[string]bool{}
	for _, v := range views {
		a.goneAddresses[v.Operators] = v.Status == nil && v.State == opsapi.MemberGone
	}
	return views, nil
}

// presentEndpoints returns the endpoints without those of gone instances, each of which would cost a time-out on every
// discovery. If all instances are gone, it returns all endpoints.
func (a *app) presentEndpoints() []string {
	list := slices.DeleteFunc(slices.Clone(a.Endpoints), func(address string) bool { return a.goneAddresses[address] })
	if len(list) == 0 {
		return a.Endpoints
	}
	return list
}

// statusTimeout bounds the wait for a status, which an instance answers from memory. Its peers in the availability zone
// also regard an instance as gone when it is silent for 2 s.
const statusTimeout = 2 * time.Second

// noInstanceAnswered returns the first refusal among the errors, since it says more than a lost connection, or else an
// error that lists all of them.
func noInstanceAnswered(problems []error) error {
	for _, err := range problems {
		if refusalResult(err) >= 0 {
			return err
		}
	}
	return exitf(ExitUnreachable, "no instance answered:\n%w", errors.Join(problems...))
}

// discovery collects the views of all entry instances.
type discovery struct {
	app    *app
	mu     sync.Mutex
	byName map[string]*instanceView // by the instance's name

	failures map[string]string // texts of the errors of queries, by address
}

// query fetches the statuses from the addresses concurrently and returns the errors.
func (s *discovery) query(addresses []string) []error {
	errs := make([]error, len(addresses))
	var wg sync.WaitGroup
	for i, address := range addresses {
		wg.Go(func() {
			var st opsapi.Status
			r := request{address: address, method: http.MethodGet, path: opsapi.PathStatus, timeout: min(s.app.Timeout, statusTimeout)}
			errs[i] = s.app.client.call(r, &st)
			s.mu.Lock()
			defer s.mu.Unlock()
			if errs[i] != nil {
				s.failures[address] = errs[i].Error()
				return
			}
			s.addStatus(address, &st)
		})
	}
	wg.Wait()
	return slices.DeleteFunc(errs, func(err error) bool { return err == nil })
}

// addStatus adds an instance's own status and its view of the others. s.mu is held.
func (s *discovery) addStatus(address string, st *opsapi.Status) {
	for _, m := range st.Members {
		if m.Instance != st.Instance {
			m.Self = false
			m.Operators = sameScheme(m.Operators, address)
			s.merge(m)
		}
	}
	self := s.viewOf(st.Instance)
	self.Member = opsapi.Member{
		Zone: st.Zone, Instance: st.Instance, Incarnation: st.Incarnation, State: opsapi.MemberLive,
		Operators: address, ConfigVersion: st.ConfigVersion, Draining: st.Draining,
		FreeSlots: st.Workers.FreeSlots, Backlog: st.Queued,
	}
	self.Status, self.Problem = st, ""
}

// viewOf returns the view of the named instance, a new one if there is none.
func (s *discovery) viewOf(name string) *instanceView {
	v, ok := s.byName[name]
	if !ok {
		v = &instanceView{}
		s.byName[name] = v
	}
	return v
}

// merge adds a peer's view of an instance. If there are several views of an instance, the one of the latest incarnation is
// used, and of these the one of the peer that got a heartbeat most recently. An instance's own status has precedence over
// any peer's view.
func (s *discovery) merge(m opsapi.Member) {
	v := s.viewOf(m.Instance)
	if v.Status != nil {
		return
	}
	if v.Instance == "" || m.Incarnation > v.Incarnation {
		v.Member = m
		return
	}
	if m.Incarnation < v.Incarnation {
		return
	}
	version := max(v.ConfigVersion, m.ConfigVersion) // within an incarnation the version never decreases
	if m.SilentMS < v.SilentMS {
		v.Member = m
	}
	v.ConfigVersion = version
}

// unqueried returns the addresses of instances that have not been asked for their status yet. It leaves out gone
// instances, because each would cost a time-out.
func (s *discovery) unqueried() []string {
	var addresses []string
	for _, v := range s.byName {
		switch {
		case v.Status != nil || v.State == opsapi.MemberGone:
		case s.failures[v.Operators] != "": // already asked
		case v.Operators == "":
			v.Problem = "its operators' address is not known"
		default:
			addresses = append(addresses, v.Operators)
		}
	}
	return addresses
}

// sortedViews returns the views by zone and name.
func (s *discovery) sortedViews() []instanceView {
	var list []instanceView
	for _, v := range s.byName {
		if v.Status == nil && v.State != opsapi.MemberGone && s.failures[v.Operators] != "" {
			v.Problem = s.failures[v.Operators]
		}
		list = append(list, *v)
	}
	slices.SortFunc(list, func(x, y instanceView) int {
		return cmp.Or(cmp.Compare(x.Zone, y.Zone), cmp.Compare(x.Instance, y.Instance))
	})
	return list
}

// fetchAll sends a GET request to every instance that has answered with its status. It returns the views of all
// instances and the answers by instance name. Where an instance did not answer, its view says why in Problem.
func fetchAll[T any](a *app, path string) ([]instanceView, map[string]T, error) {
	views, err := a.instances()
	if err != nil {
		return nil, nil, err
	}
	answers := make([]*T, len(views))
	var wg sync.WaitGroup
	for i := range views {
		if views[i].Status == nil {
			continue
		}
		wg.Go(func() {
			var got T
			if err := a.getFrom(views[i].Operators, path, &got); err != nil {
				views[i].Problem = err.Error()
				return
			}
			answers[i] = &got
		})
	}
	wg.Wait()
	byName := map[string]T{}
	for i := range views {
		if answers[i] != nil {
			byName[views[i].Instance] = *answers[i]
		}
	}
	return views, byName, nil
}

// reportMissing prints a note for each instance that is not gone and did not answer, and returns an error with
// ExitPartial if there are any.
func (a *app) reportMissing(views []instanceView) error {
	missing := 0
	for _, v := range views {
		if v.Problem != "" {
			a.notef("no answer from %s: %s", v.Instance, v.Problem)
			missing++
		}
	}
	if missing > 0 {
		return exitf(ExitPartial, "%d of %d instances did not answer; the output is incomplete", missing, len(views))
	}
	return nil
}
