package ops

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/savorypass/savorypass/internal/ops/opsapi"
	"github.com/savorypass/savorypass/internal/result"
	"github.com/savorypass/savorypass/internal/secure"
)

// route is one operation. A path that ends in a slash takes the rest of the request's path as its argument.
type route struct {
	method  string
	path    string
	role    secure.Role // RoleNone needs no token
	maxBody int
	handler func(*Server, *call) error
}

// routes lists all operations: viewers read, operators write. Health and readiness need no token, because load
// balancers ask for them and they show nothing but the reasons.
var routes = []route{
	{http.MethodGet, opsapi.PathHealth, secure.RoleNone, 0, (*Server).health},
	{http.MethodGet, opsapi.PathReady, secure.RoleNone, 0, (*Server).ready},
	{http.MethodGet, opsapi.PathVars, secure.RoleViewer, 0, (*Server).vars},
	{http.MethodGet, opsapi.PathDump, secure.RoleViewer, 0, (*Server).dumpAll},
	{http.MethodGet, opsapi.PathDump + "/", secure.RoleViewer, 0, (*Server).dumpOne},
	{http.MethodGet, opsapi.PathStatus, secure.RoleViewer, 0, (*Server).status},
	{http.MethodGet, opsapi.PathWorkers, secure.RoleViewer, 0, (*Server).workers},
	{http.MethodGet, opsapi.PathTeams, secure.RoleViewer, 0, (*Server).teams},
	{http.MethodGet, opsapi.PathJobs + "/", secure.RoleViewer, 0, (*Server).job},
	{http.MethodDelete, opsapi.PathJobs + "/", secure.RoleOperator, maxSmallBytes, (*Server).cancel},
	{http.MethodGet, opsapi.PathConfig, secure.RoleViewer, 0, (*Server).config},
	{http.MethodPut, opsapi.PathConfig, secure.RoleOperator, maxDocumentBytes, (*Server).publish},
	{http.MethodPost, opsapi.PathRestore, secure.RoleOperator, maxDocumentBytes, (*Server).restore},
	{http.MethodGet, opsapi.PathHistory, secure.RoleViewer, 0, (*Server).history},
	{http.MethodPost, opsapi.PathValidate, secure.RoleViewer, maxDocumentBytes, (*Server).validate},
	{http.MethodPost, opsapi.PathDrain, secure.RoleOperator, maxSmallBytes, (*Server).drain},
	{http.MethodGet, opsapi.PathLogLevel, secure.RoleViewer, 0, (*Server).logLevel},
	{http.MethodPut, opsapi.PathLogLevel, secure.RoleOperator, maxSmallBytes, (*Server).setLogLevel},
	{http.MethodGet, opsapi.PathFaults, secure.RoleViewer, 0, (*Server).faults},
	{http.MethodPost, opsapi.PathFaults, secure.RoleOperator, maxSmallBytes, (*Server).inject},
	{http.MethodDelete, opsapi.PathFaults, secure.RoleOperator, maxSmallBytes, (*Server).clearFaults},
}

// match returns the argument of a path. ok is false when the route is not meant.
func (r *route) match(path string) (arg string, ok bool) {
	if !strings.HasSuffix(r.path, "/") {
		return "", path == r.path
	}
	arg, ok = strings.CutPrefix(path, r.path)
	return arg, ok && arg != ""
}

func find(method, path string) (*route, string, error) {
	known := false
	for i := range routes {
		arg, ok := routes[i].match(path)
		if !ok {
			continue
		}
		if routes[i].method == method {
			return &routes[i], arg, nil
		}
		known = true
	}
	if known {
		return nil, "", opsapi.NewError(result.MethodNotAllowed, fmt.Sprintf("%s does not take %s", path, method))
	}
	return nil, "", opsapi.NewError(result.UnknownPath, fmt.Sprintf("there is no %s", path))
}

func tooLarge(limit int) error {
	return opsapi.NewError(result.BodyTooLarge, fmt.Sprintf("the body exceeds %d bytes", limit))
}
