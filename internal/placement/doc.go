// Package placement chooses workers for tasks. Its Cache holds every worker of
// one data centre with what its tasks promise or use, and the quotas of the
// teams. The package is pure: it reads no clock and its choices depend only on
// the calls made before. A Cache is not safe for concurrent use.
package placement
