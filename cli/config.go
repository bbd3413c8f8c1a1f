package cli

type configCmd struct {
	Show    configShowCmd    `cmd:"" help:"Show the configuration in force on an instance."`
	History configHistoryCmd `cmd:"" help:"Show who changed the configuration, when and why."`
	Diff    configDiffCmd    `cmd:"" help:"Show what differs between two versions."`
}
