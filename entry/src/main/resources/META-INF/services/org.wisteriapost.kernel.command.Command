org.wisteriapost.entry.EntryCommand
org.wisteriapost.entry.direct.DirectCommand
