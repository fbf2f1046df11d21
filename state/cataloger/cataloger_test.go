package cataloger_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/foxtailhall/foxtailhall/state/cataloger"
)

func route(name, host, prefix string) cataloger.Route {
	return cataloger.Route{Kind: cataloger.KindRoute, Name: name, Host: host, PathPrefix: prefix, Service: "s"}
}

func requireMatch(t *testing.T, catalog cataloger.Catalog, host, path, want string) {
	t.Helper()
	found, ok := catalog.Match(host, path)
	require.Equal(t, want != "", ok)
	require.Equal(t, want, found.Name)
}

func TestMatch(t *testing.T) {
	catalog := cataloger.New().WithObjects(cataloger.Objects{Routes: []cataloger.Route{
		route("sheets", "", "/sheets"), route("today", "", "/sheets/today/"), route("own", "a.example", "/sheets"),
	}})
	t.Run("LongestPrefix", func(t *testing.T) { requireMatch(t, catalog, "", "/sheets/today/7", "today") })
	t.Run("WholeSegments", func(t *testing.T) { requireMatch(t, catalog, "", "/sheetsmith", "") })
	t.Run("HostFirst", func(t *testing.T) { requireMatch(t, catalog, "a.example", "/sheets/today/7", "own") })
	t.Run("OtherHost", func(t *testing.T) { requireMatch(t, catalog, "b.example", "/sheets/x", "sheets") })
	t.Run("Root", func(t *testing.T) {
		root := catalog.WithObjects(cataloger.Objects{Routes: []cataloger.Route{route("root", "", "/")}})
		requireMatch(t, root, "", "/anything", "root")
	})
	t.Run("OlderVersionStays", func(t *testing.T) {
		_ = catalog.WithoutObjects([]cataloger.Key{{Kind: cataloger.KindRoute, Name: "today"}})
		requireMatch(t, catalog, "", "/sheets/today", "today")
	})
}

// TestChangeFaultsAgreeWithFaults checks that ChangeFaults finds a fault in a
// change if and only if Faults finds one in the changed catalog.
func TestChangeFaultsAgreeWithFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		catalog := cataloger.New()
		for range rapid.IntRange(1, 25).Draw(t, "changes") {
			objects, removed := drawChange(t)
			changed := catalog.WithoutObjects(removed).WithObjects(objects)
			require.Equal(t, len(changed.Faults()) > 0, len(changed.ChangeFaults(objects, removed)) > 0,
				"%v %v", changed.Faults(), changed.ChangeFaults(objects, removed))
			if len(changed.Faults()) == 0 {
				catalog = changed
			}
		}
	})
}

func drawChange(t *rapid.T) (cataloger.Objects, []cataloger.Key) {
	var objects cataloger.Objects
	var removed []cataloger.Key
	name := func(label string) string { return fmt.Sprint(rapid.IntRange(0, 2).Draw(t, label)) }
	drawn := map[string]bool{}
	for range rapid.IntRange(1, 4).Draw(t, "objects") {
		kind := rapid.IntRange(0, 4).Draw(t, "kind")
		own := name("name")
		key := fmt.Sprint(kind, own)
		if drawn[key] {
			continue // The parser rejects duplicate names.
		}
		drawn[key] = true
		switch kind {
		case 0:
			objects.Policies = append(objects.Policies, cataloger.Policy{Kind: cataloger.KindPolicy, Name: own})
		case 1:
			objects.Services = append(objects.Services,
				cataloger.Service{Kind: cataloger.KindService, Name: own, Policy: name("its policy")})
		case 2:
			objects.Servers = append(objects.Servers,
				cataloger.BackendServer{Kind: cataloger.KindBackendServer, Name: own, Service: name("its service")})
		case 3:
			made := route(own, "", "/"+name("prefix"))
			made.Service = name("route's service")
			objects.Routes = append(objects.Routes, made)
		case 4:
			kind := rapid.SampledFrom([]cataloger.Kind{
				cataloger.KindPolicy, cataloger.KindService, cataloger.KindBackendServer, cataloger.KindRoute,
			}).Draw(t, "removed kind")
			removed = append(removed, cataloger.Key{Kind: kind, Name: name("removed")})
		}
	}
	return objects, removed
}
