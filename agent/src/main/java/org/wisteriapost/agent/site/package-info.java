/**
 * The agent on a site whose runners verify instance and version themselves. It transfers
 * weights to its engine and reports the engine's status to entries; requests do not pass
 * through it.
 */
package org.wisteriapost.agent.site;
