package control

import (
	"testing"

	dto "github.com/prometheus/client_model/go"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"gaugeslip/internal/system/figures"
	"gaugeslip/internal/system/internalapi"
)

const tenantConfig = `{"version":1,"accelerators":20,"tenants":[{"name":"rye","accelerators":8},{"name":"teff","accelerators":2}],` +
	`"routes":[{"name":"barn","tenant":"teff","host":"farm.example","pathPrefix":"/barn/","type":"idempotent","timeoutMs":2000,` +
	`"targetLatencyMs":500,"backend":"farm","maxRetries":2,"extension":2},{"name":"open","host":"farm.example","pathPrefix":"/open/",` +
	`"type":"idempotent","timeoutMs":2000,"targetLatencyMs":500,"backend":"farm","maxRetries":2,"extension":2}],` +
	`"services":[{"name":"farm"}]}`

// tenants requests the tenants from the head until it answers.
func (c *testCluster) tenants(chain int) internalapi.TenantsReply {
	var reply internalapi.TenantsReply
	c.until(func() bool {
		reply = internalapi.TenantsReply{}
		return c.call(c.head(chain), internalapi.MethodTenants, internalapi.TenantsArgs{}, &reply) && reply.Verdict == internalapi.Done
	})
	return reply
}

func TestTenantsQuery(t *testing.T) {
	cluster := startCluster(t, 1, 0)
	cluster.replace(1, tenantConfig)
	cluster.submit(1, 7, "barn", `{"stages":[{"count":3,"cpu":500,"memMb":100,"gpus":1,"estimatedMs":200}]}`, internalapi.Done)
	cluster.submit(1, 8, "open", `{"stages":[{"count":2,"cpu":500,"memMb":100,"gpus":5,"gang":true,"estimatedMs":200}]}`, internalapi.Done)
	cluster.submit(1, 9, "open", testJob, internalapi.Done)

	assert.Equal(t, []internalapi.TenantOverview{
		{Name: "", Bounded: true, Limit: 10, Held: 2},
		{Name: "rye", Named: true, Bounded: true, Limit: 8},
		{Name: "teff", Named: true, Bounded: true, Limit: 2, Held: 3},
	}, cluster.tenants(1).Tenants)

	t.Run("figures", func(t *testing.T) {
		var families map[string]*dto.MetricFamily
		cluster.until(func() bool {
			families = scrape(t, cluster.nodes[0].self().Control)
			return families[figures.Prefix+"tenant_share_accelerators"] != nil
		})
		shares := families[figures.Prefix+"tenant_share_accelerators"].GetMetric()
		require.Len(t, shares, 2)
		assert.Equal(t, "teff", shares[1].GetLabel()[0].GetValue())
		assert.EqualValues(t, 2, shares[1].GetGauge().GetValue())
		assert.Len(t, families[figures.Prefix+"tenant_used_accelerators"].GetMetric(), 2)
	})
	t.Run("a job that its share can never hold", func(t *testing.T) {
		oversize := `{"stages":[{"count":3,"cpu":500,"memMb":100,"gpus":1,"gang":true,"estimatedMs":200}]}`
		cluster.submit(1, 10, "barn", oversize, internalapi.Invalid)
		assert.Equal(t, 3, cluster.jobs(cluster.nodes[0], internalapi.JobsArgs{}).Total)
	})
}

func TestNoTenantMetricsWithoutTenants(t *testing.T) {
	cluster := startCluster(t, 1, 0)
	cluster.replace(1, testConfig)
	cluster.submit(1, 7, "barn", `{"stages":[{"count":1,"cpu":500,"memMb":100,"gpus":4,"estimatedMs":200}]}`, internalapi.Done)
	assert.Equal(t, []internalapi.TenantOverview{{Held: 1}}, cluster.tenants(1).Tenants)
	var families map[string]*dto.MetricFamily
	cluster.until(func() bool {
		families = scrape(t, cluster.nodes[0].self().Control)
		return families != nil
	})
	assert.NotContains(t, families, figures.Prefix+"tenant_used_accelerators")
	assert.NotContains(t, families, figures.Prefix+"tenant_share_accelerators")
}
