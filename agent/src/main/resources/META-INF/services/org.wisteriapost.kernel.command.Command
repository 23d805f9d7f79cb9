org.wisteriapost.agent.AgentCommand
org.wisteriapost.agent.site.SiteAgentCommand
