package cli

// commands is the root of the command line.
type commands struct {
	Output string `help:"Output format: ${enum}." enum:"table,json" default:"table" short:"o"`

	Manifest manifestCommands `cmd:"" help:"Check, compare, apply and show manifests."`
	Status   statusCommand    `cmd:"" help:"Show the state of a daemon."`
	Explain  explainCommand   `cmd:"" help:"Show where a statement would go now on a host of the users' platform, and why, without sending it."`
	Demo     demoCommand      `cmd:"" help:"Demonstrate bookings during a failover on embedded stand-ins; ends by itself in under 30 s."`
	Measure  measureCommand   `cmd:"" help:"Measure a load scenario on embedded stand-ins."`
	Soak     soakCommand      `cmd:"" help:"Run hosts of the users' platform as processes under random faults and check the guarantees."`
	Standin  standinCommands  `cmd:"" help:"Run stand-in services for tests and demonstrations."`
}

// manifestCommands are the subcommands for manifests.
type manifestCommands struct {
	Check checkCommand `cmd:"" help:"Check a manifest file and report all findings."`
	Diff  diffCommand  `cmd:"" help:"Show what applying a manifest file would change."`
	Apply applyCommand `cmd:"" help:"Put a manifest file into force."`
	Show  showCommand  `cmd:"" help:"Show the manifest in force."`
}

// standinCommands are the subcommands that run stand-ins.
type standinCommands struct {
	Platform standinPlatformCommand `cmd:"" help:"Run a stand-in of the platform's table, object store and host list."`
	Database standinDatabaseCommand `cmd:"" help:"Run a stand-in of one database server."`
}
