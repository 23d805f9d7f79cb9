org.wisteriapost.entry.EntryCommand
