package clusterconfig

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"gaugeslip/internal/system/findings"
)

const validConfig = `{
	"version": 12,
	"routes": [
		{"name":"q1","host":"Jobs.Example:80","pathPrefix":"/alpha/","type":"idempotent","timeoutMs":2500,"targetLatencyMs":750,"priority":1,"backend":"render","maxRetries":3,"extension":2.5},
		{"name":"q2","host":"jobs.example","pathPrefix":"/alpha/deep/","type":"some new type","timeoutMs":0.5,"backend":"build"}
	],
	"services": [
		{"name":"render","healthCheck":"/ok","maxConnections":48,"protocol":"h1","tls":true,"preconditions":true},
		{"name":"build"}
	],
	"limits": {"maxHeaderBytes":1000,"maxBodyBytes":2000.0,"headerTimeoutMs":1500,"idleTimeoutMs":2500.5},
	"added later": [{"x": null}]
}`

func TestAWholeConfigurationIsRead(t *testing.T) {
	config, err := Parse([]byte(validConfig))
	require.NoError(t, err)
	assert.Equal(t, &Config{
		Version: 12,
		Routes: []Route{
			{
				Name: "q1", Host: "jobs.example", PathPrefix: "/alpha/", Type: "idempotent", Timeout: 2500 * time.Millisecond,
				TargetLatency: 750 * time.Millisecond, Priority: 1, Backend: "render", MaxRetries: 3, Extension: 2.5,
			},
			{
				Name: "q2", Host: "jobs.example", PathPrefix: "/alpha/deep/", Type: "some new type",
				Timeout: 500 * time.Microsecond, Backend: "build",
			},
		},
		Services: []Service{
			{Name: "render", HealthCheck: "/ok", MaxConnections: 48, Protocol: "h1", TLS: true, Preconditions: true},
			{Name: "build"},
		},
		Limits: Limits{
			MaxHeaderBytes: 1000, MaxBodyBytes: 2000, HeaderTimeout: 1500 * time.Millisecond,
			IdleTimeout: 2500500 * time.Microsecond,
		},
	}, config)
}

func TestUnusualValidConfigurationsAreAccepted(t *testing.T) {
	route := `{"host":"h","pathPrefix":"/a","timeoutMs":1,"backend":"s"}`
	for name, body := range map[string]string{
		"nothing but a version":            `{"version":1}`,
		"empty lists":                      `{"version":1,"routes":[],"services":[],"limits":{}}`,
		"nulls":                            `{"version":1,"routes":null,"services":null,"limits":null}`,
		"unused service":                   `{"version":1,"services":[{"name":"s"}]}`,
		"routes without names":             `{"version":1,"services":[{"name":"s"}],"routes":[` + route + `,{"host":"h","pathPrefix":"/b","timeoutMs":1,"backend":"s"}]}`,
		"same prefix, other host":          `{"version":1,"services":[{"name":"s"}],"routes":[` + route + `,{"host":"i","pathPrefix":"/a","timeoutMs":1,"backend":"s"}]}`,
		"numbers with a zero fraction":     `{"version":1.0,"services":[{"name":"s","maxConnections":64.0}],"routes":[{"host":"h","pathPrefix":"/a","timeoutMs":1e3,"priority":2.0,"maxRetries":3.0,"backend":"s"}]}`,
		"version beyond float64 precision": `{"version":9007199254740993}`,
		"root prefix":                      `{"version":1,"services":[{"name":"s"}],"routes":[{"host":"h","pathPrefix":"/","timeoutMs":1,"backend":"s"}]}`,
	} {
		_, err := Parse([]byte(body))
		assert.NoError(t, err, name)
	}
}

func TestAVersionIsReadExactly(t *testing.T) {
	config, err := Parse([]byte(`{"version":9007199254740993}`))
	require.NoError(t, err)
	assert.Equal(t, int64(9007199254740993), config.Version)
}

func TestLimitsHaveDefaults(t *testing.T) {
	config, err := Parse([]byte(`{"version":1}`))
	require.NoError(t, err)
	assert.Equal(t, Limits{
		MaxHeaderBytes: DefaultMaxHeaderBytes, MaxBodyBytes: DefaultMaxBodyBytes,
		HeaderTimeout: DefaultHeaderTimeout, IdleTimeout: DefaultIdleTimeout,
	}, config.Limits)
}

func TestEveryFinding(t *testing.T) {
	const service = `"services":[{"name":"s"}]`
	route := func(members string) string {
		return `{"version":1,` + service + `,"routes":[{"name":"r","host":"h","pathPrefix":"/a","timeoutMs":5,"backend":"s",` + members + `}]}`
	}
	two := func(second string) string {
		return `{"version":1,` + service + `,"routes":[{"name":"r","host":"h","pathPrefix":"/a","timeoutMs":5,"backend":"s"},` + second + `]}`
	}
	for name, test := range map[string]struct{ body, finding string }{
		"no version":            {`{}`, "version: is missing"},
		"null version":          {`{"version":null}`, "version: is missing"},
		"version 0":             {`{"version":0}`, "version: 0 is not above 0"},
		"negative version":      {`{"version":-4}`, "version: -4 is not above 0"},
		"fractional version":    {`{"version":4.5}`, "version: 4.5 is not a whole number"},
		"version as a string":   {`{"version":"4"}`, `version: "4" is not a whole number`},
		"version too large":     {`{"version":1e30}`, "version: 1e30 is not a whole number"},
		"unknown service":       {route(`"backend":"x"`), `routes[0].backend: unknown service "x"`},
		"no service":            {`{"version":1,"routes":[{"host":"h","pathPrefix":"/","timeoutMs":1}]}`, `routes[0].backend: unknown service ""`},
		"same host and prefix":  {two(`{"name":"q","host":"H:81","pathPrefix":"/a","timeoutMs":5,"backend":"s"}`), "routes[1]: has the host and pathPrefix of routes[0]"},
		"same route name":       {two(`{"name":"r","host":"i","pathPrefix":"/a","timeoutMs":5,"backend":"s"}`), `routes[1].name: "r" is also the name of routes[0]`},
		"timeout 0":             {route(`"timeoutMs":0`), "routes[0].timeoutMs: 0 is not above 0"},
		"timeout null":          {`{"version":1,` + service + `,"routes":[{"host":"h","pathPrefix":"/","timeoutMs":null,"backend":"s"}]}`, "routes[0].timeoutMs: 0 is not above 0"},
		"negative timeout":      {route(`"timeoutMs":-0.5`), "routes[0].timeoutMs: -0.5 is not above 0"},
		"no timeout":            {`{"version":1,` + service + `,"routes":[{"host":"h","pathPrefix":"/","backend":"s"}]}`, "routes[0].timeoutMs: 0 is not above 0"},
		"negative latency":      {route(`"targetLatencyMs":-1`), "routes[0].targetLatencyMs: -1 is negative"},
		"negative priority":     {route(`"priority":-1`), "routes[0].priority: -1 is negative"},
		"fractional priority":   {route(`"priority":1.5`), "routes[0].priority: 1.5 is not a whole number"},
		"negative retries":      {route(`"maxRetries":-1`), "routes[0].maxRetries: -1 is negative"},
		"fractional retries":    {route(`"maxRetries":0.5`), "routes[0].maxRetries: 0.5 is not a whole number"},
		"negative extension":    {route(`"extension":-2.2`), "routes[0].extension: -2.2 is negative"},
		"no host":               {route(`"host":""`), "routes[0].host: is empty"},
		"no prefix":             {route(`"pathPrefix":""`), `routes[0].pathPrefix: "" doesn't begin with a slash`},
		"prefix without slash":  {route(`"pathPrefix":"a/"`), `routes[0].pathPrefix: "a/" doesn't begin with a slash`},
		"same service name":     {`{"version":1,"services":[{"name":"s"},{"name":"s"}]}`, `services[1].name: "s" is also the name of services[0]`},
		"negative connections":  {`{"version":1,"services":[{"name":"s","maxConnections":-1}]}`, "services[0].maxConnections: -1 is negative"},
		"negative header bytes": {`{"version":1,"limits":{"maxHeaderBytes":-1}}`, "limits.maxHeaderBytes: -1 is negative"},
		"negative body bytes":   {`{"version":1,"limits":{"maxBodyBytes":-1}}`, "limits.maxBodyBytes: -1 is negative"},
		"negative header time":  {`{"version":1,"limits":{"headerTimeoutMs":-1}}`, "limits.headerTimeoutMs: -1 is negative"},
		"negative idle time":    {`{"version":1,"limits":{"idleTimeoutMs":-1}}`, "limits.idleTimeoutMs: -1 is negative"},
	} {
		t.Run(name, func(t *testing.T) {
			config, err := Parse([]byte(test.body))
			assert.Nil(t, config)
			var found findings.Findings
			require.True(t, errors.As(err, &found), "%v", err)
			assert.EqualError(t, found, test.finding)
		})
	}
}

func TestUnreadableConfigurationsAreRejected(t *testing.T) {
	for _, body := range []string{
		"", "null", "[]", "7", `"x"`, "{", `{"version":1`, `{"version":1}}`, `{"version":1} x`, `{"version":1,}`, `{"version":01}`,
		`{"version":1,"routes":{}}`, `{"version":1,"routes":[7]}`, `{"version":1,"routes":[{"host":7}]}`,
		`{"version":1,"routes":[{"timeoutMs":"5"}]}`, `{"version":1,"services":"s"}`, `{"version":1,"limits":[]}`,
		`{"version":1,"routes":[{"timeoutMs":1e999}]}`, `{"version":1,"x":[}`, `{"version":1,"x":nil}`, `{"version":{}}`,
		validConfig[:len(validConfig)/2], validConfig[:len(validConfig)-1], validConfig + validConfig,
	} {
		config, err := Parse([]byte(body))
		assert.Nil(t, config, "%q", body)
		var found findings.Findings
		assert.True(t, errors.As(err, &found), "%q: %v", body, err)
	}
}

func TestAllFindingsAreReported(t *testing.T) {
	_, err := Parse([]byte(`{"routes":[{"host":"","pathPrefix":"x","timeoutMs":0,"backend":"s"}]}`))
	var found findings.Findings
	require.True(t, errors.As(err, &found))
	places := make([]string, 0, len(found))
	for _, finding := range found {
		places = append(places, finding.Place)
	}
	assert.Equal(t, []string{"version", "routes[0].timeoutMs", "routes[0].host", "routes[0].pathPrefix", "routes[0].backend"}, places)
}

func TestTheNextConfigurationHasAHigherVersion(t *testing.T) {
	assert.NoError(t, CheckNext(nil, &Config{Version: 1}))
	assert.NoError(t, CheckNext(&Config{Version: 3}, &Config{Version: 9}))
	assert.EqualError(t, CheckNext(&Config{Version: 3}, &Config{Version: 3}), "version: 3 is not higher than the current 3")
	assert.Error(t, CheckNext(&Config{Version: 3}, &Config{Version: 2}))
}

func TestAServiceIsFoundByName(t *testing.T) {
	config, err := Parse([]byte(validConfig))
	require.NoError(t, err)
	service, ok := config.Service("build")
	require.True(t, ok)
	assert.Equal(t, "build", service.Name)
	_, ok = config.Service("other")
	assert.False(t, ok)
}

func TestRandomBytesNeverPanic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := rapid.SliceOf(rapid.Byte()).Draw(t, "body")
		checkParse(t, body)
	})
}

func TestDamagedConfigurationsNeverPanic(t *testing.T) {
	const rounds = 20_000
	random := rand.New(rand.NewPCG(1, 2))
	const pieces = `{}[]",:0-.eE+tfn\` + "\x00\xff "
	for range rounds {
		body := []byte(validConfig)
		for damage := 1 + random.IntN(4); damage > 0 && len(body) > 0; damage-- {
			at := random.IntN(len(body))
			switch random.IntN(3) {
			case 0:
				body[at] = pieces[random.IntN(len(pieces))]
			case 1:
				body = append(body[:at], body[at+1:]...)
			case 2:
				body = body[: at+1 : at+1]
			}
		}
		checkParse(t, body)
	}
}

// checkParse checks what must hold for any body: Parse returns either a configuration or findings with text, and accepts only valid JSON.
func checkParse(t require.TestingT, body []byte) {
	config, err := Parse(body)
	if err == nil {
		require.True(t, json.Valid(body), "%q", body)
		require.Positive(t, config.Version)
		NewRouter(config)
		return
	}
	require.Nil(t, config)
	var found findings.Findings
	require.True(t, errors.As(err, &found))
	for _, finding := range found {
		require.NotEmpty(t, finding.Text)
	}
}

func BenchmarkParse(b *testing.B) {
	var routes []string
	for index := range 200 {
		routes = append(routes, fmt.Sprintf(`{"name":"r%d","host":"h","pathPrefix":"/p%d/","timeoutMs":5,"backend":"s"}`, index, index))
	}
	body := []byte(`{"version":1,"services":[{"name":"s"}],"routes":[` + strings.Join(routes, ",") + `]}`)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Parse(body); err != nil {
			b.Fatal(err)
		}
	}
}
