package clusterconfig

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func routerOf(routes ...Route) *Router {
	return NewRouter(&Config{Version: 1, Routes: routes, Services: []Service{{Name: "s"}}})
}

func TestTheLongestPrefixWins(t *testing.T) {
	router := routerOf(
		Route{Name: "all", Host: "a.example", PathPrefix: "/"},
		Route{Name: "short", Host: "a.example", PathPrefix: "/jobs/"},
		Route{Name: "long", Host: "a.example", PathPrefix: "/jobs/deep/"},
		Route{Name: "other", Host: "b.example", PathPrefix: "/jobs/deep/er/"},
	)
	for _, test := range []struct{ host, path, route, rest string }{
		{"a.example", "/jobs/deep/er/7", "long", "er/7"},
		{"a.example", "/jobs/deep/", "long", ""},
		{"a.example", "/jobs/deep", "short", "deep"},
		{"a.example", "/jobs", "all", "jobs"},
		{"A.Example:8080", "/jobs/7", "short", "7"},
		{"b.example:80", "/jobs/deep/er/7", "other", "7"},
	} {
		route, rest, ok := router.Match(test.host, test.path)
		require.True(t, ok, "%v", test)
		assert.Equal(t, test.route, route.Name, "%v", test)
		assert.Equal(t, test.rest, rest, "%v", test)
	}
}

func TestNoRoute(t *testing.T) {
	router := routerOf(Route{Host: "a.example", PathPrefix: "/jobs/"})
	for _, request := range [][2]string{
		{"b.example", "/jobs/7"}, {"a.example", "/other/7"}, {"a.example", ""}, {"", "/jobs/7"}, {"a.example.", "/jobs/7"},
	} {
		route, _, ok := router.Match(request[0], request[1])
		assert.False(t, ok, "%v", request)
		assert.Nil(t, route)
	}
}

func TestHostsAreNormalized(t *testing.T) {
	for host, normal := range map[string]string{
		"a.example": "a.example", "A.EXAMPLE:1": "a.example", "[::1]:80": "[::1]", "[::1]": "[::1]", "a:": "a", "": "",
	} {
		assert.Equal(t, normal, NormalizeHost(host), "%q", host)
	}
}

func TestTheRouterKnowsServices(t *testing.T) {
	router := routerOf()
	service, ok := router.Service("s")
	require.True(t, ok)
	assert.Equal(t, "s", service.Name)
	_, ok = router.Service("x")
	assert.False(t, ok)
	assert.Equal(t, int64(1), router.Config().Version)
}

func TestAMatchAllocatesNothing(t *testing.T) {
	router := routerOf(Route{Host: "a.example", PathPrefix: "/jobs/"})
	allocations := testing.AllocsPerRun(100, func() { router.Match("a.example:8080", "/jobs/3fa9d10b7c26e858") })
	assert.Zero(t, allocations)
}

// Compares the router with a linear search through all routes.
func TestMatchesAreTheLongestPrefixOfTheHost(t *testing.T) {
	const rounds = 2000
	random := rand.New(rand.NewPCG(3, 4))
	text := func() string { return "/" + strings.Repeat("a", random.IntN(4)) + strings.Repeat("/b", random.IntN(3)) }
	for range rounds {
		var routes []Route
		for index := range random.IntN(8) {
			routes = append(routes, Route{Name: fmt.Sprint(index), Host: fmt.Sprintf("h%d", random.IntN(2)), PathPrefix: text()})
		}
		host, path := fmt.Sprintf("h%d", random.IntN(3)), text()
		longest, exists := -1, false
		for _, route := range routes {
			if route.Host == host && strings.HasPrefix(path, route.PathPrefix) {
				longest, exists = max(longest, len(route.PathPrefix)), true
			}
		}
		route, rest, ok := routerOf(routes...).Match(host, path)
		require.Equal(t, exists, ok)
		if ok {
			require.Len(t, route.PathPrefix, longest)
			require.Equal(t, path, route.PathPrefix+rest)
		}
	}
}
