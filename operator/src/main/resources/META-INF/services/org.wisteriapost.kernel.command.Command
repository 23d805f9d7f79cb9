org.wisteriapost.operator.SettingsCheckCommand
org.wisteriapost.operator.bundle.ApproveCommand
org.wisteriapost.operator.bundle.HistoryCommand
org.wisteriapost.operator.bundle.LintCommand
org.wisteriapost.operator.bundle.ProposeCommand
org.wisteriapost.operator.bundle.RollCommand
org.wisteriapost.operator.bundle.StatusCommand
org.wisteriapost.operator.keys.GenerateCommand
