# Settings of our own, beside the platform's JSON: one block a subject. A subject whose block is missing is off.
# `gaugeslip serve --site deploy/site.hcl`, or NODE_SITE, names the file; `gaugeslip check-config --site` checks it.
# Lines that begin with "#: " show the defaults; take that sign off the whole block to switch it on.

# Jobs that wait for a time or for other jobs: docs/operators/waiting.md.
#: waiting {
#:   max_jobs       = 10000    # that wait, are ready or are out, at once
#:   max_kept       = 10000    # final ones remembered
#:   max_bytes      = "4MiB"   # of bodies that wait and results that are kept
#:   retention      = "10m"    # of a final state and its result
#:   default_due    = "30s"    # how long a ready job may take to go out, where it does not say
#:   max_due        = "1h"     # the longest X-Due-Ms
#:   max_delay      = "24h"    # the longest X-Not-Before-Ms
#:   share          = 0.5      # of the fleet, for waiting jobs, while fresh ones are refused
#:   client_share   = 0.25     # of max_jobs, for one client
#:   on_failure     = "fail"   # of a job that it waited for: "fail" ends it with 424, "run" lets it run
#:   remember_fresh = true     # jobs that don't wait can be waited for, too
#: }

# Times when more is asked for than the hosts can do: docs/operators/overload.md.
#: overload {
#:   questions  = 2      # probes of a host by all dispatchers, in a run's length and for each lane, while none is free; 0: no bound
#:   keep_lanes = true   # a lane that an own job frees is taken again without a probe, while most answers find none free
#:   enter      = 0.2    # share of refusals from which on the log and the figures say "overloaded"
#:   leave      = 0.05   # and under which they no longer do
#:   margin     = 4      # slack of a job, in delays by others, to be let onto a host while none has a free lane
#:   repeats    = 0.2    # sends beyond a job's first, by all dispatchers, for each first one; 0: no bound
#:   shed       = true   # jobs are refused at the door, in one order for all dispatchers
#:   floor      = 0.25   # share of each class that is not refused there
#:   # order    = ["harvest-sale", "plot-load"]   # the last refused first; by default by worth for their work
#: }

# What belongs to the whole fleet, divided among the dispatchers: docs/operators/budgets.md.
#: budgets {
#:   way        = "static"   # equal parts by the settings' count; "talk": by need, with the block peers
#:   floor      = 0.25       # talk: of an equal part, what each dispatcher owns whatever happens
#:   tenants    = true       # tenants are held to their quotas in the platform's settings (accounts)
#:   burst      = 1          # seconds of a quota that may be used at once
#:   probes     = 0          # of each host by all dispatchers, a second; 0: no bound
#:   list_calls = 0          # for the list by all dispatchers, a second; 0: no bound
#: }

# Talk between dispatchers, where an installation allows it. Each has its own `listen`; all else is alike.
#: peers {
#:   listen  = "10.0.0.4:7946"
#:   members = ["10.0.0.3:7946", "10.0.0.4:7946", "10.0.0.5:7946"]   # by number (the settings' ordinal)
#:   voters  = 3      # the first so many decide who divides; odd
#:   drift   = 0.01   # of any clock, at most
#: }

# What is known of each server room, and the plan for the loss of one: docs/operators/site-loss.md.
#: sites {
#:   usable = 0.95   # share of a room's capacity that the plan counts on
#:   notice = "4s"   # until the front deals clients of a lost room out elsewhere, at most
#: }
