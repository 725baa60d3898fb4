package ops

import (
	"bytes"
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"net/http"

	"github.com/sirupsen/logrus"

	"github.com/savorypass/savorypass/internal/api"
	"github.com/savorypass/savorypass/internal/ops/opsapi"
	"github.com/savorypass/savorypass/internal/result"
	"github.com/savorypass/savorypass/internal/secure"
)

func (s *Server) health(c *call) error {
	writeJSON(c.http, http.StatusOK, opsapi.Health{Live: true, Incarnation: s.opts.Incarnation, Draining: s.opts.Drainer.Draining()})
	return nil
}

// readiness returns the reasons why the instance is not ready, without secrets, which the text of an error may hold.
func (s *Server) readiness() opsapi.Readiness {
	var reasons []string
	for _, reason := range s.opts.NotReadyReasons() {
		reasons = append(reasons, secure.RedactText(reason))
	}
	if s.opts.Drainer.Draining() {
		reasons = append(reasons, "draining")
	}
	return opsapi.Readiness{Ready: len(reasons) == 0, Reasons: reasons}
}

func (s *Server) ready(c *call) error {
	r := s.readiness()
	status := http.StatusOK
	if !r.Ready {
		status = http.StatusServiceUnavailable
	}
	writeJSON(c.http, status, r)
	return nil
}

// vars answers with all expvar variables and the instance's metrics. It omits the command line, which may hold secrets.
func (s *Server) vars(c *call) error {
	all := map[string]json.RawMessage{}
	expvar.Do(func(kv expvar.KeyValue) {
		if kv.Key != "cmdline" {
			all[kv.Key] = json.RawMessage(kv.Value.String())
		}
	})
	if s.opts.Vars != nil {
		all[opsapi.VarsKey] = json.RawMessage(s.opts.Vars.String())
	}
	text, err := json.Marshal(all)
	if err != nil {
		return err
	}
	return writeRedacted(c, text)
}

// writeRedacted answers with a JSON text from which secrets are removed.
func writeRedacted(c *call, text []byte) error {
	clean, err := secure.RedactJSON(text)
	if err != nil {
		return err
	}
	writeText(c.http, http.StatusOK, clean)
	return nil
}

func (s *Server) dumpAll(c *call) error {
	writeText(c.http, http.StatusOK, s.opts.Dumps.All())
	return nil
}

func (s *Server) dumpOne(c *call) error {
	text, ok := s.opts.Dumps.One(c.arg)
	if !ok {
		return opsapi.NewError(result.NoSuchObject, fmt.Sprintf("there is no dump %q, the available ones are %q", c.arg, s.opts.Dumps.Names()))
	}
	writeText(c.http, http.StatusOK, text)
	return nil
}

func (s *Server) status(c *call) error {
	ctx, cancel := context.WithTimeout(context.Background(), backendTimeout)
	defer cancel()
	load, err := s.opts.Engine.Load(ctx)
	if err != nil {
		return err
	}
	r := s.readiness()
	st := opsapi.Status{
		Zone: s.opts.Zone, Instance: s.opts.Instance, Incarnation: s.opts.Incarnation,
		UptimeMS: s.opts.Uptime().Milliseconds(),
		Ready:    r.Ready, Reasons: r.Reasons, Draining: s.opts.Drainer.Draining(),
		Load: load, Members: s.opts.Members.Members(),
	}
	if current, err := s.opts.Config.Current(); err == nil {
		st.ConfigVersion = current.Version
	}
	writeJSON(c.http, http.StatusOK, st)
	return nil
}

func (s *Server) workers(c *call) error {
	ctx, cancel := context.WithTimeout(context.Background(), backendTimeout)
	defer cancel()
	list, err := s.opts.Engine.Workers(ctx)
	if err != nil {
		return err
	}
	writeJSON(c.http, http.StatusOK, opsapi.Workers{Workers: list})
	return nil
}

func (s *Server) teams(c *call) error {
	ctx, cancel := context.WithTimeout(context.Background(), backendTimeout)
	defer cancel()
	list, err := s.opts.Engine.Teams(ctx)
	if err != nil {
		return err
	}
	writeJSON(c.http, http.StatusOK, opsapi.Teams{Teams: list})
	return nil
}

func (s *Server) job(c *call) error {
	return s.withJob(c, s.opts.Engine.Job)
}

func (s *Server) cancel(c *call) error {
	return s.withJob(c, s.opts.Engine.Cancel)
}

// withJob calls action with the identity from the path and answers with the job that it returns.
func (s *Server) withJob(c *call, action func(context.Context, string) (opsapi.Job, error)) error {
	if len(c.arg) > api.MaxIdentityBytes {
		return opsapi.NewError(result.IdentityMalformed, fmt.Sprintf("identity has %d bytes, at most %d", len(c.arg), api.MaxIdentityBytes))
	}
	ctx, cancel := context.WithTimeout(context.Background(), backendTimeout)
	defer cancel()
	job, err := action(ctx, c.arg)
	if err != nil {
		return err
	}
	writeJSON(c.http, http.StatusOK, job)
	return nil
}

func (s *Server) drain(c *call) error {
	writeJSON(c.http, http.StatusOK, s.opts.Drainer.Drain())
	return nil
}

func (s *Server) logLevel(c *call) error {
	writeJSON(c.http, http.StatusOK, opsapi.LogLevel{Level: s.opts.Log.GetLevel().String()})
	return nil
}

func (s *Server) setLogLevel(c *call) error {
	var want opsapi.LogLevel
	if err := decode(c, &want); err != nil {
		return err
	}
	level, err := logrus.ParseLevel(want.Level)
	if err != nil {
		return opsapi.NewError(result.OutOfRange, fmt.Sprintf("level is %q, must be error, warning, info, debug or trace", want.Level))
	}
	if level < logrus.ErrorLevel {
		return opsapi.NewError(result.OutOfRange, fmt.Sprintf("level %q would hide errors, must be error or more verbose", want.Level))
	}
	s.opts.Log.SetLevel(level)
	return s.logLevel(c)
}

func (s *Server) faults(c *call) error {
	if s.opts.Faults == nil {
		return errFaultsDisabled()
	}
	writeJSON(c.http, http.StatusOK, opsapi.Faults{Active: s.opts.Faults.Active()})
	return nil
}

func errFaultsDisabled() error {
	return opsapi.NewError(result.UnknownPath, "fault injection is disabled by the settings")
}

func (s *Server) inject(c *call) error {
	if s.opts.Faults == nil {
		return errFaultsDisabled()
	}
	var f opsapi.Fault
	if err := decode(c, &f); err != nil {
		return err
	}
	if err := s.opts.Faults.Inject(f); err != nil {
		return opsapi.NewError(result.OutOfRange, err.Error())
	}
	return s.faults(c)
}

func (s *Server) clearFaults(c *call) error {
	if s.opts.Faults == nil {
		return errFaultsDisabled()
	}
	s.opts.Faults.Clear()
	return s.faults(c)
}

// decode reads a JSON body and refuses unknown fields.
func decode(c *call, into any) error {
	dec := json.NewDecoder(bytes.NewReader(c.http.PostBody()))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return opsapi.NewError(result.MalformedBody, "the body is not valid: "+err.Error())
	}
	return nil
}
