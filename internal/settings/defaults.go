package settings

import "time"

// Defaults of optional settings.
const (
	defaultCapacity       = 100
	defaultMessageBytes   = 16 << 20
	defaultCallers        = 10000
	defaultIdleTimeout    = 30 * time.Minute
	defaultMemoryBytes    = 512 << 20
	defaultDrainTimeout   = 30 * time.Second
	defaultRequestTimeout = 2 * time.Second
)

// Default returns settings with the defaults of all optional values.
func Default() *Settings {
	return &Settings{
		CallerListen: "0.0.0.0:5432",
		PeerListen:   "0.0.0.0:7430",
		AdminListen:  "127.0.0.1:7431",
		Capacity:     defaultCapacity,
		Platform: Platform{
			TableName:       "beryltrestle",
			Bucket:          "beryltrestle",
			Region:          "local",
			AccessKeyID:     Secret{Env: "BERYLTRESTLE_ACCESS_KEY_ID"},
			SecretAccessKey: Secret{Env: "BERYLTRESTLE_SECRET_ACCESS_KEY"},
			RequestTimeout:  Duration(defaultRequestTimeout),
		},
		Limits: Limits{
			MessageBytes: defaultMessageBytes,
			Callers:      defaultCallers,
			IdleTimeout:  Duration(defaultIdleTimeout),
			MemoryBytes:  defaultMemoryBytes,
		},
		DrainTimeout: Duration(defaultDrainTimeout),
		LogLevel:     "info",
	}
}
