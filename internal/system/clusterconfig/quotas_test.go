package clusterconfig

import (
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"gaugeslip/internal/system/findings"
	"gaugeslip/internal/system/quota"
)

func quotasOf(t *testing.T, body string) Quotas {
	t.Helper()
	config, err := Parse([]byte(body))
	require.NoError(t, err)
	return config.Quotas
}

func TestAConfigurationWithoutTenantsPromisesNothing(t *testing.T) {
	quotas := quotasOf(t, `{"version":1}`)
	assert.Equal(t, Quotas{}, quotas)
	plan := quotas.Plan()
	assert.False(t, plan.InForce())
	assert.Equal(t, quota.Unlimited, plan.Remainder())
}

func TestTenantsArePromisedWholeAccelerators(t *testing.T) {
	quotas := quotasOf(t, `{"version":1,"accelerators":2600,"tenants":[
		{"name":"barley","share":0.00625},{"name":"coffee","share":0.29},{"name":"teff","accelerators":128.0},{"name":"none","share":0}]}`)
	assert.Equal(t, Quotas{Pool: 2600, Pooled: true, Tenants: []Tenant{
		{Name: "barley", Accelerators: 16}, {Name: "coffee", Accelerators: 754}, {Name: "teff", Accelerators: 128}, {Name: "none"},
	}}, quotas)
	plan := quotas.Plan()
	assert.Equal(t, int64(2600-16-754-128), plan.Remainder())
	assert.Equal(t, map[string]int64{"barley": 16, "coffee": 754, "teff": 128, "none": 0}, plan.Promised)
}

func TestWholeNumbersNeedNoPool(t *testing.T) {
	quotas := quotasOf(t, `{"version":1,"tenants":[{"name":"teff","accelerators":8}]}`)
	plan := quotas.Plan()
	assert.True(t, plan.InForce())
	assert.Equal(t, quota.Unlimited, plan.Remainder())
}

func TestARouteNamesItsTenant(t *testing.T) {
	config, err := Parse([]byte(`{"version":1,"services":[{"name":"s"}],"tenants":[{"name":"teff","accelerators":8}],"routes":[
		{"host":"h","pathPrefix":"/a","timeoutMs":5,"backend":"s","tenant":"teff"},{"host":"h","pathPrefix":"/b","timeoutMs":5,"backend":"s"}]}`))
	require.NoError(t, err)
	assert.Equal(t, "teff", config.Routes[0].Tenant)
	assert.Empty(t, config.Routes[1].Tenant)
}

func TestEveryFindingAboutQuotas(t *testing.T) {
	const huge = "1099511627776"
	for name, test := range map[string]struct{ members, finding string }{
		"unknown tenant": {`"services":[{"name":"s"}],"routes":[{"host":"h","pathPrefix":"/","timeoutMs":1,"backend":"s","tenant":"t"}]`,
			`routes[0].tenant: unknown tenant "t"`},
		"no name":        {`"tenants":[{"accelerators":1}]`, "tenants[0].name: is empty"},
		"same name":      {`"tenants":[{"name":"t","accelerators":1},{"name":"t","accelerators":2}]`, `tenants[1].name: "t" is also the name of tenants[0]`},
		"no figure":      {`"tenants":[{"name":"t"}]`, "tenants[0]: has neither a share nor accelerators"},
		"null figure":    {`"tenants":[{"name":"t","share":null}]`, "tenants[0]: has neither a share nor accelerators"},
		"both figures":   {`"accelerators":9,"tenants":[{"name":"t","share":0.5,"accelerators":1}]`, "tenants[0]: has both a share and accelerators"},
		"no pool":        {`"tenants":[{"name":"t","share":0.5}]`, "tenants[0].share: is a share of nothing: the configuration states no accelerators"},
		"negative share": {`"accelerators":9,"tenants":[{"name":"t","share":-0.5}]`, "tenants[0].share: -0.5 is not from 0 to 1"},
		"share over 1":   {`"accelerators":9,"tenants":[{"name":"t","share":1.5}]`, "tenants[0].share: 1.5 is not from 0 to 1"},
		"too fine":       {`"accelerators":9,"tenants":[{"name":"t","share":0.1234567}]`, "tenants[0].share: 0.1234567 has more than six digits after the point"},
		"sum over 1": {`"accelerators":1,"tenants":[{"name":"t","share":0.7},{"name":"u","share":0.4}]`,
			"tenants: the shares sum to 1.1, more than 1"},
		"more than there are": {`"accelerators":9,"tenants":[{"name":"t","share":0.5},{"name":"u","accelerators":6}]`,
			"tenants: are promised 10 accelerators of 9"},
		"negative number": {`"tenants":[{"name":"t","accelerators":-1}]`, "tenants[0].accelerators: -1 is negative"},
		"broken number":   {`"tenants":[{"name":"t","accelerators":1.5}]`, "tenants[0].accelerators: 1.5 is not a whole number up to " + huge},
		"huge number":     {`"tenants":[{"name":"t","accelerators":1e30}]`, "tenants[0].accelerators: 1e+30 is not a whole number up to " + huge},
		"negative pool":   {`"accelerators":-4`, "accelerators: -4 is negative"},
	} {
		t.Run(name, func(t *testing.T) {
			config, err := Parse([]byte(`{"version":1,` + test.members + `}`))
			assert.Nil(t, config)
			var found findings.Findings
			require.True(t, errors.As(err, &found), "%v", err)
			assert.EqualError(t, found, test.finding)
		})
	}
}

func TestSharesThatSumToOneNeverPromiseMoreThanThePool(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pool := rapid.Int64Range(0, 5000).Draw(t, "pool")
		left := int64(quota.Millionths)
		body := fmt.Sprintf(`{"version":1,"accelerators":%d,"tenants":[`, pool)
		for index := range rapid.IntRange(1, 200).Draw(t, "tenants") {
			part := rapid.Int64Range(0, left).Draw(t, "part")
			left -= part
			if index > 0 {
				body += ","
			}
			body += fmt.Sprintf(`{"name":"t%d","share":%d.%06d}`, index, part/quota.Millionths, part%quota.Millionths)
		}
		config, err := Parse([]byte(body + "]}"))
		require.NoError(t, err)
		sum := int64(0)
		for _, tenant := range config.Quotas.Tenants {
			sum += tenant.Accelerators
		}
		assert.LessOrEqual(t, sum, pool)
	})
}
