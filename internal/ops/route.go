package ops

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/savorypass/savorypass/internal/ops/opsapi"
	"github.com/savorypass/savorypass/internal/result"
	"github.com/savorypass/savorypass/internal/secure"
)

// route maps a method and a path to a handler. If path ends in a slash, it matches as a prefix and the rest of the
// request's path is the argument, which must not be empty.
type route struct {
	method  string
	path    string
	role    secure.Role // required role; RoleNone needs no token
	maxBody int         // largest size of the request's body in bytes
	handler func(*Server, *call) error
}

// routes lists all operations: viewers may read, operators may also make changes. Health and readiness need no token, because
// load balancers poll them without one and they disclose only the reasons why the instance is not ready.
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
	{http.MethodDelete, opsapi.PathJobs + "/", secure.RoleOperator, maxBodyBytes, (*Server).cancel},
	{http.MethodGet, opsapi.PathConfig, secure.RoleViewer, 0, (*Server).config},
	{http.MethodPut, opsapi.PathConfig, secure.RoleOperator, maxDocumentBytes, (*Server).publish},
	{http.MethodPost, opsapi.PathRestore, secure.RoleOperator, maxDocumentBytes, (*Server).restore},
	{http.MethodGet, opsapi.PathHistory, secure.RoleViewer, 0, (*Server).history},
	{http.MethodPost, opsapi.PathValidate, secure.RoleViewer, maxDocumentBytes, (*Server).validate},
	{http.MethodPost, opsapi.PathDrain, secure.RoleOperator, maxBodyBytes, (*Server).drain},
	{http.MethodGet, opsapi.PathLogLevel, secure.RoleViewer, 0, (*Server).logLevel},
	{http.MethodPut, opsapi.PathLogLevel, secure.RoleOperator, maxBodyBytes, (*Server).setLogLevel},
	{http.MethodGet, opsapi.PathFaults, secure.RoleViewer, 0, (*Server).faults},
	{http.MethodPost, opsapi.PathFaults, secure.RoleOperator, maxBodyBytes, (*Server).inject},
	{http.MethodDelete, opsapi.PathFaults, secure.RoleOperator, maxBodyBytes, (*Server).clearFaults},
}

// match reports whether the route has this path, and returns the path's argument if the route takes one.
func (r *route) match(path string) (arg string, ok bool) {
	if !strings.HasSuffix(r.path, "/") {
		return "", path == r.path
	}
	arg, ok = strings.CutPrefix(path, r.path)
	return arg, ok && arg != ""
}

// findRoute returns the route of a request and the argument in its path. Its errors have the codes
// result.MethodNotAllowed, when the path has routes for other methods only, and result.UnknownPath.
func findRoute(method, path string) (*route, string, error) {
	pathExists := false
	for i := range routes {
		arg, ok := routes[i].match(path)
		if !ok {
			continue
		}
		if routes[i].method == method {
			return &routes[i], arg, nil
		}
		pathExists = true
	}
	if pathExists {
		return nil, "", opsapi.NewError(result.MethodNotAllowed, fmt.Sprintf("%s does not accept the method %s", path, method))
	}
	return nil, "", opsapi.NewError(result.UnknownPath, fmt.Sprintf("there is no path %s", path))
}

func bodyTooLarge(limit int) error {
	return opsapi.NewError(result.BodyTooLarge, fmt.Sprintf("the body exceeds %d bytes", limit))
}
