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

// instanceView is what is known of one entry instance: its own status, and how the others see it.
type instanceView struct {
	opsapi.Member
	Status  *opsapi.Status `json:"status,omitempty"`
	Problem string         `json:"problem,omitempty"` // why there is no status
}

// configVersion returns the version in force: the instance's own word, or the newest that a peer has heard from it.
func (v *instanceView) configVersion() int64 {
	if v.Status != nil {
		return v.Status.ConfigVersion
	}
	return v.ConfigVersion
}

// silence says why there is no status.
func (v *instanceView) silence() string {
	if v.Problem == "" {
		return "its peers see it as " + string(v.State)
	}
	return v.Problem
}

// instances finds all entry instances from the given endpoints' member lists and asks each for its status.
func (a *app) instances() ([]instanceView, error) {
	if err := a.needEndpoints(); err != nil {
		return nil, err
	}
	found := survey{app: a, byName: map[string]*instanceView{}, failures: map[string]string{}}
	problems := found.ask(a.present())
	if len(found.byName) == 0 {
		a.gone = nil
		return nil, unanswered(problems)
	}
	found.ask(found.unasked())
	views := found.sorted()
	a.gone = map[string]bool{}
	for _, v := range views {
		a.gone[v.Operators] = v.Status == nil && v.State == opsapi.MemberGone
	}
	return views, nil
}

// present returns the endpoints without the ones of gone instances, each of which would cost a timeout again.
func (a *app) present() []string {
	list := slices.DeleteFunc(slices.Clone(a.Endpoints), func(address string) bool { return a.gone[address] })
	if len(list) == 0 {
		return a.Endpoints
	}
	return list
}

// statusTimeout bounds the wait for a status, which an instance answers from memory. One that is silent for 2 s is
// gone for its peers, too.
const statusTimeout = 2 * time.Second

// unanswered returns a refusal rather than a broken connection, because it says more.
func unanswered(problems []error) error {
	for _, err := range problems {
		if codeOf(err) >= 0 {
			return err
		}
	}
	return exitf(ExitUnreachable, "no instance answered:\n%w", errors.Join(problems...))
}

// survey collects the views of instances.
type survey struct {
	app    *app
	mu     sync.Mutex
	byName map[string]*instanceView

	failures map[string]string // by address
}

// ask fetches the status from addresses at the same time and returns what went wrong.
func (s *survey) ask(addresses []string) []error {
	errs := make([]error, len(addresses))
	var wait sync.WaitGroup
	for i, address := range addresses {
		wait.Go(func() {
			var st opsapi.Status
			r := request{address: address, method: http.MethodGet, path: opsapi.PathStatus, timeout: min(s.app.Timeout, statusTimeout)}
			errs[i] = s.app.client.call(r, &st)
			s.mu.Lock()
			defer s.mu.Unlock()
			if errs[i] != nil {
				s.failures[address] = errs[i].Error()
				return
			}
			s.learn(address, &st)
		})
	}
	wait.Wait()
	return slices.DeleteFunc(errs, func(err error) bool { return err == nil })
}

// learn takes over an instance's own status and its view of the others.
func (s *survey) learn(address string, st *opsapi.Status) {
	for _, m := range st.Members {
		if m.Instance != st.Instance {
			m.Self = false
			m.Operators = sameScheme(m.Operators, address)
			s.merge(m)
		}
	}
	self := s.view(st.Instance)
	self.Member = opsapi.Member{
		Zone: st.Zone, Instance: st.Instance, Incarnation: st.Incarnation, State: opsapi.MemberLive,
		Operators: address, ConfigVersion: st.ConfigVersion, Draining: st.Draining,
		FreeSlots: st.Workers.FreeSlots, Backlog: st.Queued,
	}
	self.Status, self.Problem = st, ""
}

func (s *survey) view(name string) *instanceView {
	v, ok := s.byName[name]
	if !ok {
		v = &instanceView{}
		s.byName[name] = v
	}
	return v
}

// merge keeps the newer of two views: a later incarnation, then the one that has heard from it more recently. An
// instance's own status counts more than any view.
func (s *survey) merge(m opsapi.Member) {
	v := s.view(m.Instance)
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
	version := max(v.ConfigVersion, m.ConfigVersion) // within an incarnation a version never goes down
	if m.SilentMS < v.SilentMS {
		v.Member = m
	}
	v.ConfigVersion = version
}

// unasked returns the addresses of instances that have not given their own status. Instances that are gone are not
// asked, because each would cost a timeout.
func (s *survey) unasked() []string {
	var addresses []string
	for _, v := range s.byName {
		switch {
		case v.Status != nil || v.State == opsapi.MemberGone:
		case s.failures[v.Operators] != "": // asked already
		case v.Operators == "":
			v.Problem = "its operators' address is not known"
		default:
			addresses = append(addresses, v.Operators)
		}
	}
	return addresses
}

func (s *survey) sorted() []instanceView {
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

// gather asks every instance that answered for a path and returns the answers by instance, in order.
func gather[T any](a *app, path string) ([]instanceView, map[string]T, error) {
	views, err := a.instances()
	if err != nil {
		return nil, nil, err
	}
	answers := make([]*T, len(views))
	var wait sync.WaitGroup
	for i := range views {
		if views[i].Status == nil {
			continue
		}
		wait.Go(func() {
			var got T
			if err := a.getFrom(views[i].Operators, path, &got); err != nil {
				views[i].Problem = err.Error()
				return
			}
			answers[i] = &got
		})
	}
	wait.Wait()
	byName := map[string]T{}
	for i := range views {
		if answers[i] != nil {
			byName[views[i].Instance] = *answers[i]
		}
	}
	return views, byName, nil
}

// incomplete notes instances that did not answer. It returns an error when the output lacks one that is not gone.
func (a *app) incomplete(views []instanceView) error {
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
