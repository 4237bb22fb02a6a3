// Package router looks up the route and the client account of a call.
package router

import (
	"strings"

	"github.com/banyanplank/banyanplank"
)

// Router is an immutable index of one routing table.
type Router struct {
	table    *banyanplank.RoutingTable
	routes   map[string]map[string]*banyanplank.RouteSpec
	accounts map[string]*banyanplank.AccountSpec
}

// New returns an index of table.
func New(table *banyanplank.RoutingTable) *Router {
	r := &Router{
		table:    table,
		routes:   make(map[string]map[string]*banyanplank.RouteSpec),
		accounts: make(map[string]*banyanplank.AccountSpec, len(table.Accounts)),
	}
	for i := range table.Routes {
		route := &table.Routes[i]
		host := strings.ToLower(route.Host)
		if r.routes[host] == nil {
			r.routes[host] = make(map[string]*banyanplank.RouteSpec)
		}
		r.routes[host][route.Prefix] = route
	}
	for i := range table.Accounts {
		r.accounts[table.Accounts[i].KeyDigest] = &table.Accounts[i]
	}
	return r
}

// Table returns the indexed table.
func (r *Router) Table() (table *banyanplank.RoutingTable) { return r.table }

// Route returns the route of the host with the longest prefix of path, or nil.
// A port in host is ignored.
func (r *Router) Route(host, path string) (route *banyanplank.RouteSpec) {
	if name, _, ok := strings.Cut(host, ":"); ok {
		host = name
	}
	prefixes := r.routes[strings.ToLower(host)]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if route = prefixes[path[:end+1]]; route != nil {
			return route
		}
	}
	return nil
}

// Account returns the client account whose key has the given digest, or nil.
func (r *Router) Account(key string) (account *banyanplank.AccountSpec) {
	return r.accounts[key]
}

// RequiresKey reports whether calls need a key.
func (r *Router) RequiresKey() bool { return r.table.NeedsKey || len(r.accounts) > 0 }
