package quota

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestShareOfRoundsDownAndNeverFallsWhileThePoolGrows(t *testing.T) {
	assert.EqualValues(t, 16, ShareOf(6250, 2600))
	assert.EqualValues(t, 29, ShareOf(290_000, 100))
	assert.EqualValues(t, 2600, ShareOf(Millionths, 2600))
	assert.EqualValues(t, 0, ShareOf(1, 2600))
	assert.EqualValues(t, math.MaxInt64/2, ShareOf(500_000, math.MaxInt64))
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Int64Range(0, Millionths).Draw(t, "share")
		pool := rapid.Int64Range(0, 1<<40).Draw(t, "pool")
		assert.LessOrEqual(t, ShareOf(share, pool), ShareOf(share, pool+1))
		assert.LessOrEqual(t, ShareOf(share, pool)+ShareOf(Millionths-share, pool), pool)
	})
}

func TestWithoutAPlanNothingIsBounded(t *testing.T) {
	ledger := NewLedger()
	ledger.Configure(Plan{Pool: 4, Pooled: true})
	ledger.Charge("teff", 1<<40)
	assert.False(t, ledger.InForce())
	assert.True(t, ledger.Fits("teff", 1<<40))
	assert.Equal(t, Unlimited, ledger.Limit(""))
}

func TestAShareIsHeld(t *testing.T) {
	ledger := NewLedger()
	ledger.Configure(Plan{Promised: map[string]int64{"teff": 4, "none": 0}})
	assert.True(t, ledger.Fits("teff", 4))
	assert.False(t, ledger.Fits("teff", 5))
	ledger.Charge("teff", 3)
	assert.False(t, ledger.Fits("teff", 2))
	assert.True(t, ledger.Fits("teff", 1))
	ledger.Release("teff", 1)
	assert.True(t, ledger.Fits("teff", 2))
	assert.False(t, ledger.Fits("none", 1))
	assert.True(t, ledger.Fits("none", 0))
	assert.True(t, ledger.Fits("stranger", 1000), "no pool was stated")
}

func TestASmallerShareStartsNothingUntilEnoughHasEnded(t *testing.T) {
	ledger := NewLedger()
	ledger.Configure(Plan{Promised: map[string]int64{"teff": 8}})
	ledger.Charge("teff", 8)
	ledger.Configure(Plan{Promised: map[string]int64{"teff": 4}})
	assert.EqualValues(t, -4, ledger.Available("teff"))
	assert.True(t, ledger.Fits("teff", 0), "what takes none starts all the same")
	ledger.Release("teff", 4)
	assert.False(t, ledger.Fits("teff", 1))
	ledger.Release("teff", 1)
	assert.True(t, ledger.Fits("teff", 1))
}

func TestThoseWithoutAShareHaveWhatNobodyWasPromised(t *testing.T) {
	ledger := NewLedger()
	ledger.Charge("gone", 2)
	ledger.Configure(Plan{Promised: map[string]int64{"teff": 6}, Pool: 10, Pooled: true})
	assert.EqualValues(t, 2, ledger.Available(""))
	ledger.Charge("", 2)
	assert.False(t, ledger.Fits("gone", 1))
	assert.True(t, ledger.Fits("teff", 6), "they can't take what another was promised")
	ledger.Configure(Plan{Promised: map[string]int64{"teff": 6, "gone": 2}, Pool: 10, Pooled: true})
	assert.EqualValues(t, 0, ledger.Available("gone"), "what ran before counts against the new share")
	assert.EqualValues(t, 0, ledger.Available(""))
	assert.Equal(t, []Account{
		{Tenant: "", Limit: 2, Used: 2}, {Tenant: "gone", Named: true, Limit: 2, Used: 2}, {Tenant: "teff", Named: true, Limit: 6},
	}, ledger.Accounts())
}

func TestADifferenceIsFound(t *testing.T) {
	ledger := NewLedger()
	ledger.Charge("teff", 2)
	require.NoError(t, ledger.Check(map[string]int64{"teff": 2}))
	assert.EqualError(t, ledger.Check(map[string]int64{"teff": 3}), `tenant "teff" uses 3 accelerators, counted 2`)
	assert.EqualError(t, ledger.Check(map[string]int64{"teff": 2, "rye": 1}), `tenant "rye" uses 1 accelerators and has no account`)
	ledger.remainder.used = 1
	assert.EqualError(t, ledger.Check(map[string]int64{"teff": 2}), "tenants without a share use 2 accelerators, counted 1")
}

func TestAnOversizeErrorNamesWhatIsTooLarge(t *testing.T) {
	assert.EqualError(t, &OversizeError{Tenant: "teff", Stage: 1, Need: 64, Limit: 32},
		`stages[1] needs 64 accelerators at once, and the share of tenant "teff" is 32`)
	assert.EqualError(t, &OversizeError{Stage: 0, Need: 64, Limit: 32}, "stages[0] needs 64 accelerators at once, and its queue may take 32")
}

// book is the ledger's plain counterpart.
type book struct {
	plan Plan
	used map[string]int64
}

func (b *book) free(tenant string) int64 {
	if !b.plan.InForce() {
		return Unlimited
	}
	if promised, named := b.plan.Promised[tenant]; named {
		return promised - b.used[tenant]
	}
	if b.plan.Remainder() == Unlimited {
		return Unlimited
	}
	free := b.plan.Remainder()
	for other, used := range b.used {
		if _, named := b.plan.Promised[other]; !named {
			free -= used
		}
	}
	return free
}

func drawPlan(t *rapid.T) Plan {
	plan := Plan{Promised: map[string]int64{}, Pooled: rapid.Bool().Draw(t, "pooled")}
	sum := int64(0)
	for index := range 4 {
		if rapid.Bool().Draw(t, "named") {
			promised := rapid.Int64Range(0, 12).Draw(t, "promised")
			plan.Promised[fmt.Sprint(index)] = promised
			sum += promised
		}
	}
	plan.Pool = sum + rapid.Int64Range(0, 12).Draw(t, "rest")
	return plan
}

func TestTheLedgerAgreesWithAPlainCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ledger, plain := NewLedger(), &book{used: map[string]int64{}}
		tenant := rapid.SampledFrom([]string{"", "0", "1", "2", "3"})
		t.Repeat(map[string]func(*rapid.T){
			"configure": func(t *rapid.T) {
				plain.plan = drawPlan(t)
				ledger.Configure(plain.plan)
			},
			"charge": func(t *rapid.T) {
				who, need := tenant.Draw(t, "tenant"), rapid.Int64Range(0, 5).Draw(t, "need")
				if ledger.Fits(who, need) {
					ledger.Charge(who, need)
					plain.used[who] += need
				}
			},
			"release": func(t *rapid.T) {
				who := tenant.Draw(t, "tenant")
				amount := rapid.Int64Range(0, plain.used[who]).Draw(t, "amount")
				before := ledger.Releases()
				ledger.Release(who, amount)
				plain.used[who] -= amount
				require.Equal(t, amount > 0, ledger.Releases() > before)
			},
			"": func(t *rapid.T) {
				require.NoError(t, ledger.Check(plain.used))
				for _, who := range []string{"", "0", "1", "2", "3", "4"} {
					require.Equal(t, plain.free(who), ledger.Available(who), "tenant %q", who)
				}
			},
		})
	})
}
