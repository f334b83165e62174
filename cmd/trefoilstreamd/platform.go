package main

import (
	"os"
	"runtime/debug"

	"github.com/apex/log"
	jsonlog "github.com/apex/log/handlers/json"

	"trefoilstream.example/trefoilstream/internal/dispatch"
	"trefoilstream.example/trefoilstream/internal/instance"
	"trefoilstream.example/trefoilstream/internal/settings"
	"trefoilstream.example/trefoilstream/platform"
)

// gcPercent is the GOGC value. It is below the default of 100, since memory costs
// more than the processor time of the additional collections.
const gcPercent = 50

// steadyContactMultiple times the contact bound is how long a backend server must
// go without a failure to count as steady. The platform's rules use the same
// multiple.
const steadyContactMultiple = 2

// runPlatform runs an instance that uses the platform's metadata store and
// headers.
func runPlatform(args []string) error {
	s, err := settings.ParseInstance(args, os.Getenv)
	if err != nil {
		return err
	}
	bounds, err := platform.ParseBounds(s.Bounds)
	if err != nil {
		return err
	}
	policy, err := dispatch.ParsePolicy(s.Policy)
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	log.SetHandler(jsonlog.New(os.Stdout))
	log.SetLevelFromString(s.LogLevel)
	return instance.Run(s, instance.Adapter{
		Dialect: platform.Dialect{}, Source: platform.Reader{}, Store: platform.NewStore(s.StoreAddress),
		Policy: policy, ReadinessPath: platform.ReadinessPath, Grace: bounds.Grace.Duration(),
		Bounds: dispatch.Bounds{
			RetryRatio: bounds.RetryRatio, RetrySlack: bounds.RetrySlack, RetryWindow: bounds.RetryWindow.Duration(),
			QuotaWindow: bounds.QuotaWindow.Duration(), QuotaOvershoot: bounds.QuotaOvershoot, QuotaSlack: bounds.QuotaSlack,
			FloorShare: bounds.FloorShare, SteadyAfter: steadyContactMultiple * bounds.Contact.Duration(),
		},
	})
}
